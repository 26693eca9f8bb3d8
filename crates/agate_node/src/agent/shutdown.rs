//! Planned stop of an agent.
//!
//! The agent can't know whether another one will follow. It announces the stop, so that the leader
//! sends no more orders, and returns those that still arrive. Then it renews the lease for as long as
//! allowed, and reports that it has stopped: unless another agent reports, the leader settles the runs
//! as soon as that lease has surely lapsed.

use std::time::Duration;

use agate_jobs::{AgentState, WorkerState};
use tokio::time::timeout;

use super::managed::{ManagedWorker, Phase, State};
use super::{renewal, report};

/// Time for which the agent goes on after the announcement. By then the leader has read it, and the
/// orders that crossed it have arrived.
pub(super) const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

/// Time limit for the starts and stops in progress.
const CALLS_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for the last lease renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Time limit for the last report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Announces that the agent stops. Nothing is started from now on.
pub(super) fn announce(worker: &ManagedWorker) {
    set_agent_state(worker, AgentState::Stopping);
    worker.changed.notify_waiters();
}

/// Renews the lease for the last time, and reports that the agent has stopped.
pub(super) async fn finish(worker: &ManagedWorker) {
    if timeout(CALLS_TIMEOUT, wait_for_calls(worker))
        .await
        .is_err()
    {
        log::warn!(event = "stop_unfinished", worker:% = worker.state().incarnation; "calls are in progress");
    }
    let renewal = renewal::renew_last(worker);
    if timeout(RENEWAL_TIMEOUT, renewal).await.is_err() {
        log::warn!(event = "last_hold_late"; "the worker keeps its current lease");
    }
    set_agent_state(worker, AgentState::Stopped);
    if !is_known(&worker.state()) {
        return;
    }
    if let Err(cause) = report::record(worker, REPORT_TIMEOUT).await {
        log::warn!(event = "last_report_failed", cause:% = cause; "the leader learns of the stop from silence");
    }
}

fn set_agent_state(worker: &ManagedWorker, agent: AgentState) {
    let mut state = worker.state();
    state.agent = agent;
    state.reported_at = None;
}

/// Returns whether the leader knows the worker.
fn is_known(state: &State) -> bool {
    state.introduction.is_done() && state.status != WorkerState::Gone
}

/// Waits until no start or stop is in progress.
async fn wait_for_calls(worker: &ManagedWorker) {
    loop {
        let changed = worker.changed.notified();
        let is_calling = |phase| matches!(phase, Phase::Starting | Phase::Stopping);
        if !worker
            .state()
            .runs
            .values()
            .any(|run| is_calling(run.phase))
        {
            return;
        }
        // The end of a call is noticed by the next list at the latest.
        let _ = timeout(Duration::from_millis(20), changed).await;
    }
}

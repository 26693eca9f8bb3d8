//! Planned stop of an agent.
//!
//! The agent can't know whether another one will follow. It announces the stop, so that the leader
//! sends no more orders, and returns those that still arrive. Then it renews the lease for as long as
//! allowed, and reports that it has stopped: unless another agent reports, the leader settles the runs
//! as soon as that lease has surely lapsed.

use std::time::Duration;

use agate_jobs::{AgentState, WorkerState};
use rand::Rng as _;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::managed::{ManagedWorker, State};
use super::run::Phase;
use super::{renewal, report};
use crate::clock;

/// Time for which the agent goes on after the announcement. By then the leader, which decides every
/// 0.1 s, has read it, and the orders that crossed it have arrived. A lease that is renewed after it
/// outlasts a grace period of 6 s, so that a worker doesn't stand idle before its machine is removed.
const ANNOUNCE_TIME: Duration = Duration::from_secs(1);

/// Largest addition to [`ANNOUNCE_TIME`]. It spreads the last reports of agents that are told to stop
/// at the same moment.
const MAX_JITTER: Duration = Duration::from_millis(200);

/// Time limit for the starts and stops in progress.
const CALLS_TIMEOUT: Duration = Duration::from_millis(300);

/// Time limit for the last lease renewal.
const RENEWAL_TIMEOUT: Duration = Duration::from_millis(400);

/// Longest wait for an answer of a worker whose last call failed, such as one whose connection was reset.
/// The next call follows after 0.15 s.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(200);

/// Time limit for the last report of a worker that goes on, so that a restart takes no longer than it must.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);

/// Time between checks for something that has to end before the agent exits.
const CHECK_PERIOD: Duration = Duration::from_millis(20);

/// Announces that the agent stops. Nothing is started from now on.
pub(super) fn announce(worker: &ManagedWorker) {
    set_agent_state(worker, AgentState::Stopping);
    worker.changed.notify_waiters();
}

/// Returns the time to wait after the announcement.
pub(super) fn announce_time() -> Duration {
    ANNOUNCE_TIME + rand::rng().random_range(Duration::ZERO..MAX_JITTER)
}

/// Waits for the calls in progress. If the worker doesn't answer and its lease lapses in time for the last
/// report before `until`, the agent waits for that as well, since the leader would otherwise count a whole
/// lease from the report of the stop.
pub(super) async fn settle(worker: &ManagedWorker, until: Instant) {
    if timeout(CALLS_TIMEOUT, wait_for_calls(worker))
        .await
        .is_err()
    {
        log::warn!(
            event = "stop_unfinished", worker:% = worker.state().incarnation;
            "starts or stops are in progress"
        );
    }
    let lapses_early = lapses_before(&worker.state(), until - REPORT_TIMEOUT);
    let limit = if lapses_early {
        until - REPORT_TIMEOUT
    } else {
        Instant::now() + ANSWER_TIMEOUT
    };
    // The limit covers a worker that answers again and renews its lease.
    let _ = timeout_at(limit, wait_for_lapse(worker)).await;
}

/// Renews the lease for the last time, and reports that the agent has stopped. The suspicion of the worker
/// counts from then on, so this comes after [`settle`] for all workers of the agent.
pub(super) async fn finish(worker: &ManagedWorker, until: Instant) {
    if renewal::is_answering(&worker.state()) {
        renew_last(worker).await;
    }
    set_agent_state(worker, AgentState::Stopped);
    let limit = report_limit(&worker.state(), until);
    report_stopped(worker, limit).await;
    report_late_lapse(worker, until).await;
}

/// Returns the time limit for the last report. Where the worker runs nothing any more, nothing is gained
/// by an early exit, but the leader would count a whole lease without the report.
fn report_limit(state: &State, until: Instant) -> Duration {
    match state.status {
        WorkerState::Lapsed | WorkerState::Gone => until - Instant::now(),
        WorkerState::Ready | WorkerState::Draining => REPORT_TIMEOUT,
    }
}

/// Waits for a lapse that is too late for the report of the stop, and reports it. If that fails, the
/// leader goes on counting from the report of the stop. Only a worker that has announced its departure is
/// waited for: another one may be back soon, and then needs the next agent.
async fn report_late_lapse(worker: &ManagedWorker, until: Instant) {
    let lapses = {
        let state = worker.state();
        state.is_leaving() && lapses_before(&state, until)
    };
    if !lapses {
        return;
    }
    let _ = timeout_at(until, wait_for_lapse(worker)).await;
    if worker.state().status == WorkerState::Lapsed {
        report_stopped(worker, until - Instant::now()).await;
    }
}

async fn renew_last(worker: &ManagedWorker) {
    let renewal = renewal::renew_last(worker);
    if timeout(RENEWAL_TIMEOUT, renewal).await.is_err() {
        log::warn!(
            event = "last_hold_late", worker:% = worker.state().incarnation;
            "the worker keeps its current lease"
        );
    }
}

async fn report_stopped(worker: &ManagedWorker, limit: Duration) {
    if !is_known(&worker.state()) || worker.departed.is_cancelled() {
        return;
    }
    let report = report::record(worker, limit);
    let cause = match timeout(limit, report).await {
        Ok(Ok(_)) => return,
        Ok(Err(error)) => error.to_string(),
        Err(_) => "the log did not answer in time".to_owned(),
    };
    log::warn!(
        event = "last_report_failed", worker:% = worker.state().incarnation, cause:% = cause;
        "the leader learns of the stop from silence"
    );
}

fn set_agent_state(worker: &ManagedWorker, agent: AgentState) {
    let mut state = worker.state();
    state.agent = agent;
    state.reported_at = None;
}

/// Returns whether the leader knows the worker or has to learn that it has left.
fn is_known(state: &State) -> bool {
    state.introduction.is_done() || state.status == WorkerState::Gone
}

/// Returns whether the worker doesn't answer and its lease lapses before `limit`.
fn lapses_before(state: &State, limit: Instant) -> bool {
    let left = (state.grants.lapse_at() + renewal::LAPSE_MARGIN).saturating_sub(clock::boottime());
    is_silent(state) && Instant::now() + left < limit
}

/// Returns whether the worker doesn't answer and doesn't count as lapsed yet.
fn is_silent(state: &State) -> bool {
    let in_service = matches!(state.status, WorkerState::Ready | WorkerState::Draining);
    in_service && !renewal::is_answering(state) && !state.unreachable
}

/// Waits until no start or stop is in progress.
async fn wait_for_calls(worker: &ManagedWorker) {
    let is_calling = |phase| matches!(phase, Phase::Starting | Phase::Resending | Phase::Stopping);
    wait_while(worker, |state| {
        state.runs.values().any(|run| is_calling(run.phase))
    })
    .await;
}

/// Waits until a worker that doesn't answer counts as lapsed, or answers again. The task that renews the
/// lease checks that only after each call, which may take over a second.
async fn wait_for_lapse(worker: &ManagedWorker) {
    loop {
        renewal::check_lapse(worker);
        if !is_silent(&worker.state()) {
            return;
        }
        sleep(CHECK_PERIOD).await;
    }
}

async fn wait_while(worker: &ManagedWorker, holds: impl Fn(&State) -> bool) {
    loop {
        let changed = worker.changed.notified();
        if !holds(&worker.state()) {
            return;
        }
        // Whether notified or timed out, the state is checked again.
        let _ = timeout(CHECK_PERIOD, changed).await;
    }
}

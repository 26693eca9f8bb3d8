//! Reports on a worker to the scheduling entry.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{Record, WorkerState};
use tokio::time::{Instant, sleep, timeout};

use super::managed::{ManagedWorker, State};

/// Time between two reports; a suspicion is raised after 1.9 s of silence.
const REPORT_PERIOD: Duration = Duration::from_millis(800);

/// How long a report may take before it is written anew with newer contents.
const APPEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reports on the worker until it has left and that is on record.
pub(super) async fn run(worker: Arc<ManagedWorker>) {
    loop {
        wait_until_due(&worker).await;
        let report = worker.state().report();
        let state = report.state;
        let record = Record::new(Body::Worker(report));
        match worker
            .context
            .appender
            .record(&[record], APPEND_TIMEOUT)
            .await
        {
            Ok(_) if state == WorkerState::Gone => return,
            Ok(_) => {}
            Err(error) => {
                log::warn!(event = "report_failed", cause:% = error; "");
                worker.state().reported_at = None;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn wait_until_due(worker: &ManagedWorker) {
    loop {
        let changed = worker.changed.notified();
        let Some(left) = time_left(&mut worker.state()) else {
            return;
        };
        // Both ends of the wait lead to the same check.
        let _ = timeout(left, changed).await;
    }
}

/// Time until the next report is due; `None` if it is to be made now.
fn time_left(state: &mut State) -> Option<Duration> {
    let known = state.introduction.is_done() || state.status == WorkerState::Gone;
    if !known {
        return Some(REPORT_PERIOD);
    }
    let now = Instant::now();
    let due = state.reported_at.map(|at| at + REPORT_PERIOD);
    if let Some(due) = due.filter(|due| *due > now) {
        return Some(due - now);
    }
    state.reported_at = Some(now);
    None
}

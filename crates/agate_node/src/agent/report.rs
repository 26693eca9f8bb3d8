//! Reports on a worker to the scheduling entry.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{Record, WorkerState};
use tokio::time::{Instant, sleep, timeout};

use super::held::{Held, State};

/// Time between two reports; a suspicion is raised after 1.9 s of silence.
const PERIOD: Duration = Duration::from_millis(800);

/// How long a report may take before it is written anew with newer contents.
const PATIENCE: Duration = Duration::from_millis(300);

/// Pause after a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Reports on the worker until it has left and that is on record.
pub(super) async fn run(held: Arc<Held>) {
    loop {
        wait_until_due(&held).await;
        let report = held.state().report();
        let state = report.state;
        let record = Record::new(Body::Worker(report));
        match held.context.appender.record(&[record], PATIENCE).await {
            Ok(_) if state == WorkerState::Gone => return,
            Ok(_) => {}
            Err(error) => {
                log::warn!(event = "report_failed", cause:% = error; "");
                held.state().reported = None;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn wait_until_due(held: &Held) {
    loop {
        let news = held.changed.notified();
        let Some(left) = time_left(&mut held.state()) else {
            return;
        };
        // Both ends of the wait lead to the same check.
        let _ = timeout(left, news).await;
    }
}

/// Time until the next report is due; `None` if it is to be made now.
fn time_left(state: &mut State) -> Option<Duration> {
    let known = state.introduction.is_done() || state.duty == WorkerState::Gone;
    if !known {
        return Some(PERIOD);
    }
    let now = Instant::now();
    let due = state.reported.map(|at| at + PERIOD);
    if let Some(due) = due.filter(|due| *due > now) {
        return Some(due - now);
    }
    state.reported = Some(now);
    None
}

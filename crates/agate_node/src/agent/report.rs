//! Reports the worker to the leader.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{AgentState, Record, WorkerState};
use tokio::time::{Instant, sleep, timeout};

use super::managed::{ManagedWorker, State};
use super::{start_block, unstarted};
use crate::appender::AppenderError;

/// Time between reports. A worker is suspected after 1.9 s of silence.
const REPORT_PERIOD: Duration = Duration::from_millis(800);

/// Timeout of a report, after which it is rebuilt with current contents.
const APPEND_TIMEOUT: Duration = Duration::from_millis(300);

/// Pause after a failed report.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time after which reports list started jobs again, for entries that have loaded the table since. It
/// holds only the newest report.
const RELIST_PERIOD: Duration = Duration::from_secs(10);

/// Reports the worker until it is gone and that is recorded.
pub(super) async fn run(worker: Arc<ManagedWorker>) {
    let mut listed_at = Instant::now();
    loop {
        wait_until_due(&worker).await;
        if listed_at.elapsed() >= RELIST_PERIOD {
            listed_at = Instant::now();
            worker.state().relist_started();
        }
        match record(&worker, APPEND_TIMEOUT).await {
            Ok(WorkerState::Gone) => {
                worker.departed.cancel();
                return;
            }
            Ok(_) => {}
            Err(error) => {
                log::warn!(event = "report_failed", cause:% = error; "");
                worker.state().reported_at = None;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Records a report. Returns the state of the worker that it names.
pub(super) async fn record(
    worker: &ManagedWorker,
    limit: Duration,
) -> Result<WorkerState, AppenderError> {
    let (report, ends, recorded) = {
        let mut state = worker.state();
        start_block::update(worker, &mut state);
        unstarted::update(&mut state);
        (state.report(), state.crash_ends.clone(), state.recorded)
    };
    let standing = (report.state, report.agent);
    let started = report.started_jobs.clone();
    // The ends come first: the report makes the leader end whatever is still bound.
    let bodies = ends.iter().cloned().map(Body::Ended);
    let bodies = bodies.chain([Body::Worker(report)]);
    let records: Vec<Record> = bodies.map(Record::new).collect();
    let appender = &worker.context.appender;
    if recorded != Some(standing) && ends_service(standing) {
        appender.record_urgently(&records, limit).await?;
    } else {
        appender.record(&records, limit).await?;
    }
    let mut known = worker.state();
    known.recorded = Some(standing);
    known.crash_ends.retain(|end| !ends.contains(end));
    known.started_jobs.retain(|job| !started.contains(job));
    Ok(standing.0)
}

/// Returns whether a report says that the worker or its agent no longer serves. The leader waits for a
/// whole lease where it has to learn that from silence.
fn ends_service((worker, agent): (WorkerState, AgentState)) -> bool {
    matches!(worker, WorkerState::Lapsed | WorkerState::Gone) || !agent.is_serving()
}

async fn wait_until_due(worker: &ManagedWorker) {
    loop {
        let changed = worker.changed.notified();
        let Some(left) = time_left(&mut worker.state()) else {
            return;
        };
        // Whether notified or timed out, the time is checked again.
        let _ = timeout(left, changed).await;
    }
}

/// Returns the time until the next report is due; `None` if it is due now.
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

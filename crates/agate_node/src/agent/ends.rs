//! Records the ends of runs, and stops runs.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, RunEnd, TaskKey};
use tokio::time::sleep;

use super::managed::{ManagedWorker, State};
use super::run::Phase;
use crate::clock;
use crate::metrics::Event;

/// Timeout of an attempt to record ends.
const APPEND_TIMEOUT: Duration = Duration::from_secs(2);

/// Most bytes of checkpoints in one append. Escapes may lengthen them sixfold, and the log takes 2 MB in one call.
const MAX_APPENDED_BYTES: usize = 256 * 1024;

/// Age of the last report from which on the next one is made early, to share an append with ends:
/// half of the usual report period.
const EARLY_REPORT_AGE: Duration = Duration::from_millis(400);

/// Pause before a stop is retried.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts at a stop that only prevents a later start.
const MAX_PREVENT_ATTEMPTS: u32 = 3;

/// Attempts at a stop. After that the worker's lease decides.
const MAX_STOP_ATTEMPTS: u32 = 20;

/// Returns the end of a run as it is recorded.
pub(super) fn end_of(
    state: &State,
    task: TaskKey,
    run: u32,
    cause: EndCause,
    checkpoint: &str,
) -> RunEnd {
    let known = state.runs.get(&task).filter(|known| known.number == run);
    let ran_ms = cause.is_inferred().then_some(0);
    let ran_ms =
        ran_ms.unwrap_or_else(|| known.map_or(1, |run| clock::millis(run.since.elapsed())));
    RunEnd {
        task,
        run,
        cause,
        checkpoint: checkpoint.to_owned(),
        worker: state.incarnation.name.clone(),
        ran_ms,
        loss: None,
        crash: None,
    }
}

/// Records ends that the worker lists, and acknowledges them once they are recorded.
pub(super) fn record_listed(worker: &Arc<ManagedWorker>, ends: Vec<RunEnd>, up_to: u64) {
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        if !ends.is_empty() {
            append_ends(&worker, ends).await;
        }
        let mut state = worker.state();
        state.recorded_up_to = state.recorded_up_to.max(up_to);
        drop(state);
        worker.changed.notify_waiters();
    });
}

/// Records ends that the worker doesn't list.
pub(super) fn record(worker: &Arc<ManagedWorker>, ends: Vec<RunEnd>) {
    let worker = Arc::clone(worker);
    tokio::spawn(async move { append_ends(&worker, ends).await });
}

async fn append_ends(worker: &ManagedWorker, ends: Vec<RunEnd>) {
    for end in &ends {
        worker.context.metrics.count(Event::EndRecorded);
        log::info!(
            event = "run_ended", task:% = end.task, run = end.run, cause:% = end.cause,
            worker = end.worker.as_str(), ran_ms = end.ran_ms; ""
        );
    }
    report_early(worker);
    for group in split(ends) {
        append_group(worker, group).await;
    }
}

/// Splits ends into groups that the log takes in one call.
fn split(ends: Vec<RunEnd>) -> Vec<Vec<RunEnd>> {
    let mut groups: Vec<Vec<RunEnd>> = Vec::new();
    let mut bytes = 0;
    for end in ends {
        bytes += end.checkpoint.len();
        match groups.last_mut() {
            Some(group) if bytes <= MAX_APPENDED_BYTES => group.push(end),
            _ => {
                bytes = end.checkpoint.len();
                groups.push(vec![end]);
            }
        }
    }
    groups
}

async fn append_group(worker: &ManagedWorker, ends: Vec<RunEnd>) {
    let records: Vec<Record> = ends
        .into_iter()
        .map(|end| Record::new(Body::Ended(end)))
        .collect();
    while let Err(error) = worker
        .context
        .appender
        .record(&records, APPEND_TIMEOUT)
        .await
    {
        log::warn!(event = "end_unrecorded", ends = records.len(), cause:% = error; "retrying");
    }
}

/// Makes a report that is due soon right away, so that it shares the append of the ends.
fn report_early(worker: &ManagedWorker) {
    let mut state = worker.state();
    let soon = state
        .reported_at
        .is_some_and(|at| at.elapsed() >= EARLY_REPORT_AGE);
    if soon {
        state.reported_at = None;
        drop(state);
        worker.changed.notify_waiters();
    }
}

/// Stops a run that has no order.
pub(super) fn stop_unordered(worker: &Arc<ManagedWorker>, task: TaskKey, run: u32) {
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        let incarnation = worker.state().incarnation.clone();
        if let Err(error) = worker.client.stop(&incarnation, task, run).await {
            log::warn!(event = "stop_failed", task:% = task, run = run, cause:% = error; "");
        }
    });
}

/// Stops a run in phase [`Phase::Stopping`] without waiting for it.
pub(super) fn stop_in_background(worker: &Arc<ManagedWorker>, task: TaskKey, run: u32) {
    let worker = Arc::clone(worker);
    tokio::spawn(async move { stop(&worker, task, run).await });
}

/// Returns a run in phase [`Phase::Stopping`] that is not running to the scheduler, without waiting.
/// That is recorded only once the worker rejects the run: a restarted agent still finds the order until a
/// leader has removed it, and would start the run while the task already runs elsewhere. If the worker
/// doesn't answer, the order is executed anew; an agent that stops leaves it to its successor or to the
/// scheduler.
pub(super) fn return_in_background(
    worker: &Arc<ManagedWorker>,
    task: TaskKey,
    run: u32,
    cause: EndCause,
) {
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        let is_prevented = prevent_start(&worker, task, run).await;
        let end = {
            let mut state = worker.state();
            let is_serving = state.agent.is_serving();
            let known = state.runs.get_mut(&task);
            let Some(known) = known.filter(|r| r.number == run && r.phase == Phase::Stopping)
            else {
                return;
            };
            if !is_prevented {
                if is_serving {
                    state.forget_run(task, run);
                }
                return;
            }
            known.phase = Phase::Ended;
            end_of(&state, task, run, cause, "")
        };
        append_ends(&worker, vec![end]).await;
    });
}

/// Tells the worker to reject any start of a run that is not running. Returns whether it has answered.
async fn prevent_start(worker: &ManagedWorker, task: TaskKey, run: u32) -> bool {
    for _ in 0..MAX_PREVENT_ATTEMPTS {
        let incarnation = worker.state().incarnation.clone();
        match worker.client.stop(&incarnation, task, run).await {
            Ok(()) => return true,
            Err(error) => {
                log::warn!(event = "stop_failed", task:% = task, run = run, cause:% = error; "");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    false
}

/// Stops a run in phase [`Phase::Stopping`], retrying until the worker answers.
pub(super) async fn stop(worker: &ManagedWorker, task: TaskKey, run: u32) {
    for _ in 0..MAX_STOP_ATTEMPTS {
        let incarnation = worker.state().incarnation.clone();
        match worker.client.stop(&incarnation, task, run).await {
            Ok(()) => {
                log::info!(
                    event = "run_stopped", task:% = task, run = run, worker:% = incarnation; ""
                );
                set_phase(worker, task, run, Phase::Stopped(clock::boottime()));
                return;
            }
            Err(error) => {
                worker.context.metrics.count(Event::OrderUnanswered);
                log::warn!(event = "stop_failed", task:% = task, run = run, cause:% = error; "");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    set_phase(worker, task, run, Phase::Started(clock::boottime()));
}

pub(super) fn set_phase(worker: &ManagedWorker, task: TaskKey, run: u32, phase: Phase) {
    let mut state = worker.state();
    let known = state.runs.get_mut(&task);
    if let Some(known) = known.filter(|r| r.number == run && r.phase != Phase::Ended) {
        known.phase = phase;
        known.missing_lists = 0;
        if matches!(phase, Phase::Unconfirmed(_)) {
            known.unanswered.get_or_insert(known.since);
        }
    }
}

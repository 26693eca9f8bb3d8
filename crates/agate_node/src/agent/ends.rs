//! Recording ends of runs, and stopping runs.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{End, EndCause, Record, TaskKey};
use tokio::time::sleep;

use super::held::{Held, Phase, State};
use crate::clock;
use crate::metrics::Event;

/// How long one attempt to record ends may take.
const PATIENCE: Duration = Duration::from_secs(2);

/// Age of the last report at which the next one goes with ends: half of the usual time between two.
const EARLY_REPORT: Duration = Duration::from_millis(400);

/// Pause before a stop is sent again.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Attempts at a stop before the worker's lease decides.
const STOP_TRIES: u32 = 20;

/// The end of a run as it is recorded.
pub(super) fn of(state: &State, task: TaskKey, run: u32, cause: EndCause, saved: &str) -> End {
    let known = state.runs.get(&task).filter(|known| known.number == run);
    let ran = cause.is_concluded().then_some(0);
    let ran = ran.unwrap_or_else(|| known.map_or(1, |run| clock::millis(run.since.elapsed())));
    End {
        task,
        run,
        cause,
        saved: saved.to_owned(),
        worker: state.life.name.clone(),
        ran_ms: ran,
    }
}

/// Records ends that the worker lists; they are acknowledged once they are on record.
pub(super) fn record_listed(held: &Arc<Held>, ends: Vec<End>, highest: u64) {
    let held = Arc::clone(held);
    tokio::spawn(async move {
        if !ends.is_empty() {
            put_on_record(&held, ends).await;
        }
        let mut state = held.state();
        state.seen = state.seen.max(highest);
        drop(state);
        held.changed.notify_waiters();
    });
}

/// Records ends that the worker doesn't list.
pub(super) fn record(held: &Arc<Held>, ends: Vec<End>) {
    let held = Arc::clone(held);
    tokio::spawn(async move { put_on_record(&held, ends).await });
}

async fn put_on_record(held: &Held, ends: Vec<End>) {
    for end in &ends {
        held.context.metrics.count(Event::EndRecorded);
        log::info!(
            event = "run_ended", task:% = end.task, run = end.run, cause:% = end.cause,
            worker = end.worker.as_str(), ran_ms = end.ran_ms; ""
        );
    }
    hasten_report(held);
    let records: Vec<Record> = ends
        .into_iter()
        .map(|end| Record::new(Body::Ended(end)))
        .collect();
    while let Err(error) = held.context.appender.record(&records, PATIENCE).await {
        log::warn!(event = "end_unrecorded", ends = records.len(), cause:% = error; "trying again");
    }
}

/// Has a report that will be due soon go into the append of the ends.
fn hasten_report(held: &Held) {
    let mut state = held.state();
    let soon = state
        .reported
        .is_some_and(|at| at.elapsed() >= EARLY_REPORT);
    if soon {
        state.reported = None;
        drop(state);
        held.changed.notify_waiters();
    }
}

/// Stops a run that no order stands for.
pub(super) fn stop_unordered(held: &Arc<Held>, task: TaskKey, run: u32) {
    let held = Arc::clone(held);
    tokio::spawn(async move {
        let life = held.state().life.clone();
        if let Err(error) = held.port.stop(&life, task, run).await {
            log::warn!(event = "stop_failed", task:% = task, run = run, cause:% = error; "");
        }
    });
}

/// Stops a run that is marked as stopping without waiting for it.
pub(super) fn stop_in_background(held: &Arc<Held>, task: TaskKey, run: u32) {
    let held = Arc::clone(held);
    tokio::spawn(async move { stop(&held, task, run).await });
}

/// Stops a run that is marked as stopping, until the worker has answered.
pub(super) async fn stop(held: &Held, task: TaskKey, run: u32) {
    for _ in 0..STOP_TRIES {
        let life = held.state().life.clone();
        match held.port.stop(&life, task, run).await {
            Ok(()) => {
                log::info!(event = "run_stopped", task:% = task, run = run, worker:% = life; "");
                set_phase(held, task, run, Phase::Stopped(clock::boottime()));
                return;
            }
            Err(error) => {
                held.context.metrics.count(Event::OrderUnanswered);
                log::warn!(event = "stop_failed", task:% = task, run = run, cause:% = error; "");
                sleep(RETRY_DELAY).await;
            }
        }
    }
    set_phase(held, task, run, Phase::Started(clock::boottime()));
}

pub(super) fn set_phase(held: &Held, task: TaskKey, run: u32, phase: Phase) {
    let mut state = held.state();
    let known = state.runs.get_mut(&task);
    if let Some(known) = known.filter(|r| r.number == run && r.phase != Phase::Ended) {
        known.phase = phase;
        known.missing = 0;
    }
}

//! Checkpoints that workers list.

use agate_jobs::TaskKey;

use super::client::ListedCheckpoint;
use super::managed::{ManagedWorker, State};
use super::run::Run;
use crate::metrics::Event;

/// Keeps the checkpoint of a listed run, unless it is too long to be recorded: then the last one that was not
/// stays.
pub(super) fn keep(
    worker: &ManagedWorker,
    task: TaskKey,
    run: &mut Run,
    listed: &ListedCheckpoint,
) {
    match listed {
        ListedCheckpoint::Text(text) => run.checkpoint.clone_from(text),
        ListedCheckpoint::TooLong(bytes) => {
            if !std::mem::replace(&mut run.long_checkpoint, true) {
                report_too_long(worker, task, run.number, *bytes);
            }
        }
    }
}

/// Returns the checkpoint to record with the end of a run.
pub(super) fn of_end<'a>(
    worker: &ManagedWorker,
    state: &'a State,
    (task, number): (TaskKey, u32),
    listed: &'a ListedCheckpoint,
) -> &'a str {
    let bytes = match listed {
        ListedCheckpoint::Text(text) => return text,
        ListedCheckpoint::TooLong(bytes) => *bytes,
    };
    let known = state.runs.get(&task).filter(|run| run.number == number);
    if !known.is_some_and(|run| run.long_checkpoint) {
        report_too_long(worker, task, number, bytes);
    }
    known.map_or("", |run| &run.checkpoint)
}

fn report_too_long(worker: &ManagedWorker, task: TaskKey, run: u32, bytes: usize) {
    worker.context.metrics.count(Event::CheckpointDropped);
    log::warn!(
        event = "checkpoint_dropped", task:% = task, run = run, bytes = bytes;
        "it is too long to be recorded; the task resumes from an earlier one, or from the start"
    );
}

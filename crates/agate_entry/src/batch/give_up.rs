//! Records work that can never run, with the reason.

use std::sync::Arc;

use agate_core::{Incarnation, Resources, RunId, TaskId};
use agate_place::GivenUp;
use agate_records::{Body, RunEnd, RunEnded};
use agate_state::State;

use crate::entry::Entry;

/// Maximum number of tasks per append.
const TASKS_PER_APPEND: usize = 500;

/// Records every job and task that the scheduler has given up.
pub(super) fn record_all(entry: &Arc<Entry>) {
    let given_up = entry
        .batch
        .without_wake(|inner| inner.scheduler.take_given_up());
    for given in given_up {
        let entry = Arc::clone(entry);
        tokio::spawn(async move { record(&entry, given).await });
    }
}

async fn record(entry: &Entry, given: GivenUp) {
    let reason = given.reason.to_string();
    log::warn!(event = "work_given_up", job:% = given.job, reason; "");
    let tasks = entry.folded.with(|state| open_tasks(state, given));
    for chunk in tasks.chunks(TASKS_PER_APPEND) {
        let records = chunk.iter().map(|run| impossible(*run, &reason));
        if let Err(error) = entry.commit().write_all(records.collect()).await {
            log::warn!(event = "verdict_not_recorded", job:% = given.job, cause:% = error; "");
            break;
        }
    }
    requeue(entry, given);
}

/// Requeues the job, so that it is retried if the verdict could not be recorded or some of its
/// tasks still run.
fn requeue(entry: &Entry, given: GivenUp) {
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            super::ownership::requeue(entry, state, inner, given.job);
        });
    });
}

/// Returns the affected tasks that are not bound, with their latest epochs.
fn open_tasks(state: &State, given: GivenUp) -> Vec<RunId> {
    let tasks: Vec<TaskId> = match given.task {
        Some(task) => vec![task],
        None => state
            .runnable_tasks(given.job)
            .into_iter()
            .flat_map(|range| range.first..=range.last)
            .map(|index| TaskId {
                job: given.job,
                index,
            })
            .collect(),
    };
    let last = |task: TaskId| {
        let view = state.task(task)?;
        view.binding.is_none().then_some(RunId {
            task,
            epoch: view.epoch,
        })
    };
    tasks.into_iter().filter_map(last).collect()
}

fn impossible(run: RunId, reason: &str) -> Body {
    RunEnded {
        run,
        incarnation: Incarnation::new(0),
        end: RunEnd::Impossible {
            reason: reason.to_owned(),
        },
        peak: Resources::ZERO,
    }
    .into()
}

//! Records that work can never run, with the reason.

use std::sync::Arc;

use agate_core::{Incarnation, Resources, RunId, TaskId};
use agate_place::GivenUp;
use agate_records::{Body, RunEnd, RunEnded};
use agate_state::State;

use crate::entry::Entry;

/// Tasks given up in one append.
const TASKS_PER_APPEND: usize = 500;

/// Records what the scheduler has given up.
pub(super) fn take(entry: &Arc<Entry>) {
    let given_up = entry.batch.quietly(|inner| inner.scheduler.take_given_up());
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
        if let Err(error) = entry.commit().all(records.collect()).await {
            log::warn!(event = "verdict_not_recorded", job:% = given.job, cause:% = error; "");
            break;
        }
    }
    requeue(entry, given);
}

/// Puts a job back whose verdict could not be recorded, or of which something still runs, so that
/// it is looked at again.
fn requeue(entry: &Entry, given: GivenUp) {
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            super::home::requeue(entry, state, inner, given.job);
        });
    });
}

/// Every task concerned that is not bound, with its last epoch.
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

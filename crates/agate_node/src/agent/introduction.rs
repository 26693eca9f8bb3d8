//! Settling what was ordered for an earlier life of a worker before the new one is reported.
//!
//! A worker that starts again under its name accepts starts that were meant for its earlier life,
//! also ones that are carried out late. Once its agent has reported the new life, the scheduler
//! starts the runs of the earlier one elsewhere. So each of them is barred from the new life first,
//! and those that did run there are ended on record.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::TaskKey;

use super::client::LeaseReply;
use super::managed::{ManagedWorker, State};
use crate::clock;

/// A run of an earlier life.
type RunKey = (TaskKey, u32);

/// How far the new life is from being reported.
#[derive(Debug, Default)]
pub(super) struct Introduction {
    done: bool,
    /// Runs that the worker will not start any more.
    fenced: HashSet<RunKey>,
    /// Runs that are being barred.
    requested: HashSet<RunKey>,
    /// Boot clock when the newest of them was barred.
    fenced_at: Duration,
}

impl Introduction {
    /// Whether the worker may be reported.
    pub const fn is_done(&self) -> bool {
        self.done
    }
}

/// Takes a list whose call began at `began` on the boot clock, after its ends were taken in.
pub(super) fn update(
    worker: &Arc<ManagedWorker>,
    state: &mut State,
    reply: &LeaseReply,
    began: Duration,
) {
    if state.introduction.done {
        return;
    }
    let earlier = state.earlier_runs();
    for (task, run) in &earlier {
        if state.introduction.requested.insert((*task, *run)) {
            fence_in_background(worker, *task, *run);
        }
    }
    let fenced = earlier
        .iter()
        .all(|run| state.introduction.fenced.contains(run));
    let mut running = reply.running.iter();
    let runs = running.any(|row| earlier.contains(&(row.task, row.run)));
    let recorded = state.recorded_up_to >= state.recording_up_to;
    let listed_after = earlier.is_empty() || began > state.introduction.fenced_at;
    if fenced && listed_after && recorded && !runs {
        state.introduction.done = true;
        log::info!(
            event = "worker_introduced", worker:% = state.incarnation, earlier_runs = earlier.len(); ""
        );
        worker.changed.notify_waiters();
    }
}

fn fence_in_background(worker: &Arc<ManagedWorker>, task: TaskKey, run: u32) {
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        let incarnation = worker.state().incarnation.clone();
        let answer = worker.client.stop(&incarnation, task, run).await;
        let mut state = worker.state();
        match answer {
            Ok(()) => {
                state.introduction.fenced.insert((task, run));
                state.introduction.fenced_at = clock::boottime();
                worker.changed.notify_waiters();
            }
            Err(error) => {
                // The next list asks again.
                state.introduction.requested.remove(&(task, run));
                log::warn!(
                    event = "stop_failed", task:% = task, run = run, cause:% = error; ""
                );
            }
        }
    });
}

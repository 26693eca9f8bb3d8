//! Settles the orders for earlier incarnations of a worker before a new one is reported.
//!
//! A worker that restarts under its name accepts starts that were meant for an earlier incarnation,
//! even delayed ones. Once the agent has reported the new incarnation, the scheduler starts the
//! runs of the earlier one elsewhere. To avoid running them twice, each is first fenced off from
//! the new incarnation, and the ends of those that did run there are recorded.

use std::collections::HashSet;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::TaskKey;

use super::client::LeaseReply;
use super::managed::{ManagedWorker, State};
use crate::clock;

/// A run of an earlier incarnation.
type RunKey = (TaskKey, u32);

/// Progress towards reporting the new incarnation.
#[derive(Debug, Default)]
pub(super) struct Introduction {
    done: bool,
    /// Runs that the worker will no longer start.
    fenced: HashSet<RunKey>,
    /// Runs for which fencing has been requested.
    requested: HashSet<RunKey>,
    /// Boot time at which the last of them was fenced.
    fenced_at: Duration,
}

impl Introduction {
    /// Returns whether the worker may be reported.
    pub const fn is_done(&self) -> bool {
        self.done
    }
}

/// Evaluates a list that was requested at the boot time `began`, after its ends have been taken in.
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
    let recorded = state.recorded_up_to >= state.recording_up_to && !reply.more_ended;
    let mut running = reply.running.iter();
    let is_running = running.any(|row| earlier.contains(&(row.task, row.run)));
    let listed_after = earlier.is_empty() || began > state.introduction.fenced_at;
    if fenced && listed_after && recorded && !is_running {
        state.introduction.done = true;
        log::info!(
            event = "worker_introduced", worker:% = state.incarnation,
            earlier_runs = earlier.len(); ""
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
                // Retried with the next list.
                state.introduction.requested.remove(&(task, run));
                log::warn!(
                    event = "stop_failed", task:% = task, run = run, cause:% = error; ""
                );
            }
        }
    });
}

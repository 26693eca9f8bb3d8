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

use super::held::{Held, State};
use super::port::LeaseReply;
use crate::clock;

/// A run of an earlier life.
type Run = (TaskKey, u32);

/// How far the new life is from being reported.
#[derive(Debug, Default)]
pub(super) struct Introduction {
    done: bool,
    /// Runs that the worker will not start any more.
    barred: HashSet<Run>,
    /// Runs that are being barred.
    asked: HashSet<Run>,
    /// Boot clock when the newest of them was barred.
    barred_at: Duration,
}

impl Introduction {
    /// Whether the worker may be reported.
    pub const fn is_done(&self) -> bool {
        self.done
    }
}

/// Takes a list whose call began at `began` on the boot clock, after its ends were taken in.
pub(super) fn take(held: &Arc<Held>, state: &mut State, reply: &LeaseReply, began: Duration) {
    if state.introduction.done {
        return;
    }
    let earlier = state.earlier_runs();
    for (task, run) in &earlier {
        if state.introduction.asked.insert((*task, *run)) {
            bar_in_background(held, *task, *run);
        }
    }
    let barred = earlier
        .iter()
        .all(|run| state.introduction.barred.contains(run));
    let mut running = reply.running.iter();
    let runs = running.any(|row| earlier.contains(&(row.task, row.run)));
    let recorded = state.seen >= state.recording;
    let listed_after = earlier.is_empty() || began > state.introduction.barred_at;
    if barred && listed_after && recorded && !runs {
        state.introduction.done = true;
        log::info!(
            event = "worker_introduced", worker:% = state.life, earlier_runs = earlier.len(); ""
        );
        held.changed.notify_waiters();
    }
}

fn bar_in_background(held: &Arc<Held>, task: TaskKey, run: u32) {
    let held = Arc::clone(held);
    tokio::spawn(async move {
        let life = held.state().life.clone();
        let answer = held.port.stop(&life, task, run).await;
        let mut state = held.state();
        match answer {
            Ok(()) => {
                state.introduction.barred.insert((task, run));
                state.introduction.barred_at = clock::boottime();
                held.changed.notify_waiters();
            }
            Err(error) => {
                // The next list asks again.
                state.introduction.asked.remove(&(task, run));
                log::warn!(
                    event = "stop_failed", task:% = task, run = run, cause:% = error; ""
                );
            }
        }
    });
}

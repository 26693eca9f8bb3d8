//! Jobs, their tasks and runs.

mod arena;
mod early_cancels;
mod ended;
mod task;
mod task_set;
mod view;

use std::collections::BTreeMap;

use agate_core::Position;
use agate_records::JobSubmitted;
use slotmap::new_key_type;

pub(crate) use arena::Jobs;
pub(crate) use early_cancels::EarlyCancels;
pub(crate) use ended::{EndedJob, EndedJobs};
pub use task::{BoundRun, RunBinding, TaskView};
pub(crate) use task::{Task, TaskKey};
pub use task_set::TaskRange;
pub(crate) use task_set::TaskSet;
pub use view::{JobPhase, JobView, TaskCounts, TaskFailure};

new_key_type! {
    /// Key of a job in the arena.
    pub(crate) struct JobKey;
}

/// Maximum stored length of a failure reason. Longer reasons are truncated.
const MAX_REASON_BYTES: usize = 256;

/// An open job. Tasks that were never bound take no memory.
#[derive(Debug, Clone)]
pub(crate) struct Job {
    pub(crate) submitted: JobSubmitted,
    pub(crate) position: Position,
    pub(crate) cancelled: bool,
    /// Tasks that ended. Not updated after a cancellation, which ends all tasks except the bound
    /// ones.
    pub(crate) ended: TaskSet,
    /// Tasks that were bound at least once and have not ended.
    pub(crate) started: BTreeMap<u32, TaskKey>,
    /// Number of runs that are currently bound.
    pub(crate) running: u32,
    pub(crate) counts: TaskCounts,
    pub(crate) failures: Vec<TaskFailure>,
}

impl Job {
    pub(crate) const fn new(submitted: JobSubmitted, position: Position) -> Self {
        Self {
            submitted,
            position,
            cancelled: false,
            ended: TaskSet::new(),
            started: BTreeMap::new(),
            running: 0,
            counts: TaskCounts {
                finished: 0,
                failed: 0,
                impossible: 0,
                cancelled: 0,
            },
            failures: Vec::new(),
        }
    }

    /// Returns whether the task has ended.
    pub(crate) fn has_ended(&self, index: u32) -> bool {
        if self.cancelled {
            return !self.started.contains_key(&index);
        }
        self.ended.contains(index)
    }

    /// Returns whether every task has ended.
    pub(crate) const fn is_done(&self) -> bool {
        self.counts.total() == self.submitted.tasks
    }

    /// Records why a task failed, unless `limit` failures are already recorded.
    pub(crate) fn record_failure(&mut self, index: u32, reason: &str, limit: usize) {
        if self.failures.len() >= limit {
            return;
        }
        let end = reason.floor_char_boundary(MAX_REASON_BYTES);
        self.failures.push(TaskFailure {
            index,
            reason: reason[..end].to_owned(),
        });
    }
}

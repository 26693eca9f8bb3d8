//! Tasks that were bound at least once and have not ended.

use agate_core::{Incarnation, Position, Resources, RunId, TaskId};
use slotmap::new_key_type;

use super::JobKey;

new_key_type! {
    /// Key of a task in the arena.
    pub(crate) struct TaskKey;
}

/// The binding of a run to its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunBinding {
    /// The holder.
    pub incarnation: Incarnation,
    /// Resources reserved by the holder.
    pub demand: Resources,
    /// Position of the binding record.
    pub position: Position,
}

/// A bound run and its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundRun {
    /// The run.
    pub run: RunId,
    /// The holder.
    pub incarnation: Incarnation,
}

/// A task that was bound at least once and has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) job: JobKey,
    pub(crate) id: TaskId,
    /// Epoch of the last binding.
    pub(crate) epoch: u32,
    /// Number of failed runs.
    pub(crate) attempts: u32,
    /// Checkpoint of the last eviction that wrote one.
    pub(crate) checkpoint: Option<Box<str>>,
    /// The current binding, if the task is bound.
    pub(crate) binding: Option<RunBinding>,
}

impl Task {
    pub(crate) const fn run(&self) -> RunId {
        RunId {
            task: self.id,
            epoch: self.epoch,
        }
    }
}

/// Public view of an open task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskView {
    /// Epoch of the last binding; 0 if the task was never bound.
    pub epoch: u32,
    /// Number of failed runs.
    pub attempts: u32,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Option<String>,
    /// The current binding; `None` if the task is not bound.
    pub binding: Option<RunBinding>,
}

impl From<&Task> for TaskView {
    fn from(task: &Task) -> Self {
        Self {
            epoch: task.epoch,
            attempts: task.attempts,
            checkpoint: task.checkpoint.as_deref().map(str::to_owned),
            binding: task.binding,
        }
    }
}

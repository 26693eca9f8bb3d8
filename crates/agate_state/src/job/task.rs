//! One task that has been bound at least once and has not ended.

use agate_core::{Incarnation, Position, Resources, RunId, TaskId};
use slotmap::new_key_type;

use super::JobKey;

new_key_type! {
    /// Key of a task in the arena.
    pub(crate) struct TaskKey;
}

/// Who holds a bound run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunBinding {
    /// The holder.
    pub incarnation: Incarnation,
    /// What the holder sets aside.
    pub demand: Resources,
    /// Place of the binding record.
    pub position: Position,
}

/// A run and its holder.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundRun {
    /// The run.
    pub run: RunId,
    /// The holder.
    pub incarnation: Incarnation,
}

/// A task that has been bound at least once and has not ended.
#[derive(Debug, Clone)]
pub(crate) struct Task {
    pub(crate) job: JobKey,
    pub(crate) id: TaskId,
    /// Epoch of the last binding.
    pub(crate) epoch: u32,
    /// Failed runs so far.
    pub(crate) attempts: u32,
    /// Checkpoint of the last eviction.
    pub(crate) checkpoint: Option<Box<str>>,
    /// The bound run.
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

/// An open task as others see it.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskView {
    /// Epoch of the last binding; 0 if it was never bound.
    pub epoch: u32,
    /// Failed runs so far.
    pub attempts: u32,
    /// Checkpoint from which the next run resumes.
    pub checkpoint: Option<String>,
    /// The bound run; `None` if the task can be bound.
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

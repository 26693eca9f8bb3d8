//! Input and output types of the queue.

use std::ops::Range;

use agate_core::{ClassName, JobId, Moment, Resources, Tag, TaskId, TeamName};

use super::JobKey;
use crate::{ClassKey, TeamKey};

/// A job to push.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// The job.
    pub id: JobId,
    /// The team that the job is charged to.
    pub team: TeamName,
    /// Its class.
    pub class: ClassName,
    /// Its tags.
    pub tags: Vec<Tag>,
    /// Declared resources of each task.
    pub declared: Resources,
    /// The tasks that have not ended and are not running.
    pub tasks: Vec<Range<u32>>,
}

/// The job with the next task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Head {
    /// Its key.
    pub key: JobKey,
    /// The next task.
    pub task: TaskId,
    /// Its team.
    pub team: TeamKey,
    /// Its class.
    pub class: ClassKey,
    /// Declared resources of each task.
    pub declared: Resources,
    /// When the job was pushed.
    pub queued_at: Moment,
    /// Number of tasks that were taken and neither requeued nor finished.
    pub taken: u64,
}

/// Result of [`Queue::peek`](super::Queue::peek).
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peek {
    /// A job with a ready task.
    Ready(Head),
    /// Nothing is ready.
    Empty,
    /// Many withdrawn jobs were parked; call again.
    Retry,
}

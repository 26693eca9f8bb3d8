//! What goes into the queue and what comes up in it.

use std::ops::Range;

use agate_core::{ClassName, JobId, Moment, Resources, Tag, TaskId, TeamName};

use super::JobKey;
use crate::{ClassKey, TeamKey};

/// What is pushed.
#[derive(Debug, Clone)]
pub struct JobSpec {
    /// The job.
    pub id: JobId,
    /// The team whose quota it counts against.
    pub team: TeamName,
    /// Its class.
    pub class: ClassName,
    /// Its tags.
    pub tags: Vec<Tag>,
    /// What each task is declared to need.
    pub declared: Resources,
    /// The tasks that are open and do not run.
    pub tasks: Vec<Range<u32>>,
}

/// The job whose task is next.
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
    /// What each task is declared to need.
    pub declared: Resources,
    /// When the job was pushed.
    pub since: Moment,
    /// How many of its tasks were taken and have neither come back nor ended.
    pub taken: u64,
}

/// What a look at the queue found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Peek {
    /// A job with a ready task.
    Ready(Head),
    /// Nothing is ready.
    Empty,
    /// Many withdrawn jobs were put aside; look again.
    Retry,
}

//! Jobs as others see them.

use agate_core::{CallerName, ClassName, JobId};
use agate_records::JobSubmitted;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::TaskEnd;

/// Tasks of a job that have ended, by how they ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct TaskCounts {
    /// Tasks that finished.
    pub finished: u32,
    /// Tasks that failed as often as the preset in force allows.
    pub failed: u32,
    /// Tasks that can never run.
    pub impossible: u32,
    /// Tasks that ended because their job was cancelled.
    pub cancelled: u32,
}

impl TaskCounts {
    /// Tasks that have ended.
    pub const fn total(self) -> u32 {
        self.finished + self.failed + self.impossible + self.cancelled
    }

    pub(crate) const fn add(&mut self, end: TaskEnd) {
        match end {
            TaskEnd::Finished => self.finished += 1,
            TaskEnd::Failed => self.failed += 1,
            TaskEnd::Impossible => self.impossible += 1,
            TaskEnd::Cancelled => self.cancelled += 1,
        }
    }
}

/// Why a task failed or can never run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TaskFailure {
    /// Index of the task.
    pub index: u32,
    /// The reason.
    pub reason: String,
}

/// How far a job is.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum JobPhase {
    /// Tasks are running or can be bound.
    Open,
    /// Tasks are open, but a class or tag of the job is withdrawn.
    Withdrawn,
    /// The job is cancelled, and some runs have not ended yet.
    Cancelling,
    /// The job is cancelled and nothing of it runs.
    Cancelled,
    /// Every task finished.
    Finished,
    /// Every task ended, and some of them failed or can never run.
    Failed,
}

/// A job as others see it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView<'a> {
    /// The job.
    pub job: JobId,
    /// Who submitted it.
    pub caller: &'a CallerName,
    /// Class of its tasks.
    pub class: &'a ClassName,
    /// Number of its tasks.
    pub tasks: u32,
    /// How far it is.
    pub phase: JobPhase,
    /// Tasks that have ended.
    pub counts: TaskCounts,
    /// Runs bound now.
    pub running: u32,
    /// Why tasks failed, for the first of them.
    pub failures: &'a [TaskFailure],
    /// The whole submission, while the job is open.
    pub submitted: Option<&'a JobSubmitted>,
}

//! Public view of jobs.

use agate_core::{CallerName, ClassName, JobId};
use agate_records::JobSubmitted;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, IntoStaticStr};

use crate::TaskEnd;

/// Number of ended tasks of a job, by how they ended.
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
    /// Returns the number of ended tasks.
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

/// Phase of a job.
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
    /// Tasks are open, but the class or a tag of the job is withdrawn.
    Withdrawn,
    /// The job is cancelled, but some of its runs have not ended.
    Cancelling,
    /// The job is cancelled and all of its runs have ended.
    Cancelled,
    /// Every task finished.
    Finished,
    /// Every task ended, and some failed or can never run.
    Failed,
}

/// Public view of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobView<'a> {
    /// The job.
    pub job: JobId,
    /// The caller that submitted the job.
    pub caller: &'a CallerName,
    /// Class of the tasks.
    pub class: &'a ClassName,
    /// Number of tasks.
    pub tasks: u32,
    /// Phase of the job.
    pub phase: JobPhase,
    /// Number of ended tasks.
    pub counts: TaskCounts,
    /// Number of runs that are currently bound.
    pub running: u32,
    /// Reasons of the first tasks that failed.
    pub failures: &'a [TaskFailure],
    /// The submission record, while the job is open.
    pub submitted: Option<&'a JobSubmitted>,
}

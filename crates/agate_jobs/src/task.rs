//! Task identifiers.

use std::fmt;
use std::str::FromStr;

use agate_core::JobId;
use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Identifies a task within an occurrence of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskKey {
    /// The job.
    pub job: JobId,
    /// Index of the occurrence; zero for jobs that don't repeat.
    pub occurrence: u32,
    /// Index of the step.
    pub step: u32,
    /// Index of the task within the step.
    pub index: u32,
}

impl TaskKey {
    /// Returns whether both are tasks of the same step and occurrence.
    pub(crate) fn is_sibling(self, other: Self) -> bool {
        (self.job, self.occurrence, self.step) == (other.job, other.occurrence, other.step)
    }
}

/// invalid task key {0:?}: expected job.occurrence.step.index
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct TaskKeyError(pub String);

impl std::error::Error for TaskKeyError {}

impl fmt::Display for TaskKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            job,
            occurrence,
            step,
            index,
        } = self;
        write!(f, "{job}.{occurrence}.{step}.{index}")
    }
}

impl FromStr for TaskKey {
    type Err = TaskKeyError;

    fn from_str(text: &str) -> Result<Self, TaskKeyError> {
        parse(text).ok_or_else(|| TaskKeyError(text.to_owned()))
    }
}

fn parse(text: &str) -> Option<TaskKey> {
    let mut parts = text.split('.');
    let task = TaskKey {
        job: parts.next()?.parse().ok()?,
        occurrence: parts.next()?.parse().ok()?,
        step: parts.next()?.parse().ok()?,
        index: parts.next()?.parse().ok()?,
    };
    parts.next().is_none().then_some(task)
}

impl TryFrom<String> for TaskKey {
    type Error = TaskKeyError;

    fn try_from(text: String) -> Result<Self, TaskKeyError> {
        text.parse()
    }
}

impl From<TaskKey> for String {
    fn from(task: TaskKey) -> Self {
        task.to_string()
    }
}

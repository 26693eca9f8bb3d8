//! Ids of batch work.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::IdError;

/// Id of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct JobId(pub u64);

impl fmt::Display for JobId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for JobId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let Ok(id) = u64::from_str_radix(text, 16) else {
            return Err(IdError::NotHex);
        };
        Ok(Self(id))
    }
}

/// Id of a task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// The job that the task belongs to.
    pub job: JobId,
    /// Index of the task within the job.
    pub index: u32,
}

impl fmt::Display for TaskId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.job, self.index)
    }
}

impl FromStr for TaskId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let Some((job, index)) = text.split_once('.') else {
            return Err(IdError::BadShape);
        };
        let Ok(index) = index.parse() else {
            return Err(IdError::BadShape);
        };
        Ok(Self {
            job: job.parse()?,
            index,
        })
    }
}

/// Id of a run of a task. The first run has epoch 1; each rebinding increments the epoch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RunId {
    /// The task that is run.
    pub task: TaskId,
    /// Number of the binding of the task, starting at 1.
    pub epoch: u32,
}

impl fmt::Display for RunId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.task, self.epoch)
    }
}

impl FromStr for RunId {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let Some((task, epoch)) = text.rsplit_once('.') else {
            return Err(IdError::BadShape);
        };
        let Ok(epoch) = epoch.parse() else {
            return Err(IdError::BadShape);
        };
        Ok(Self {
            task: task.parse()?,
            epoch,
        })
    }
}

macro_rules! convert_as_text {
    ($type:ident) => {
        impl TryFrom<String> for $type {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$type> for String {
            fn from(id: $type) -> Self {
                id.to_string()
            }
        }
    };
}

convert_as_text!(JobId);
convert_as_text!(TaskId);
convert_as_text!(RunId);

//! Ids of batch work.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use super::IdError;

/// One submitted job.
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

/// One task of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TaskId {
    /// The job.
    pub job: JobId,
    /// The index of the task within its job.
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

/// One run of a task. The first run has epoch 1; each rebinding raises the epoch by one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct RunId {
    /// The task.
    pub task: TaskId,
    /// Which binding of the task this is.
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

macro_rules! as_text {
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

as_text!(JobId);
as_text!(TaskId);
as_text!(RunId);

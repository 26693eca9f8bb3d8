//! States of a job as callers see them.

use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// No task has been started yet.
    Queued,
    /// A task has been started.
    Running,
    /// Every task has finished.
    Completed,
    /// A task has failed too often.
    Failed,
    /// It was cancelled.
    Cancelled,
}

impl JobState {
    /// Whether nothing changes any more.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

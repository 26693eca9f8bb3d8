//! Job states as reported to callers.

use serde::{Deserialize, Serialize};

/// State of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum JobState {
    /// No task has started yet.
    Queued,
    /// At least one task has started.
    Running,
    /// All tasks have finished.
    Completed,
    /// A task has used up its attempts or crashes its workers.
    Failed,
    /// The job was cancelled.
    Cancelled,
}

impl JobState {
    /// Returns whether the state can no longer change.
    pub const fn is_final(self) -> bool {
        matches!(self, Self::Completed | Self::Failed | Self::Cancelled)
    }
}

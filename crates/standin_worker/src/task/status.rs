//! State of a task as reported by the API.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskStatus {
    /// The task is running.
    Running,
    /// The task is not running because its lease has expired or it is being checkpointed.
    Paused,
    /// The task finished.
    Finished,
    /// The task failed.
    Failed {
        /// Cause of the failure.
        reason: String,
        /// Whether the task exhausted a resource.
        exhausted: bool,
    },
    /// The task was checkpointed and ended.
    Checkpointed {
        /// Checkpoint to resume from.
        checkpoint: String,
    },
    /// The task was ended without a checkpoint.
    Stopped,
}

impl TaskStatus {
    /// Returns whether the task has ended.
    pub const fn is_over(&self) -> bool {
        !matches!(self, Self::Running | Self::Paused)
    }
}

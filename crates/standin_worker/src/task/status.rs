//! State of a task, as callers see it.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// State of a task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub enum TaskStatus {
    /// It runs.
    Running,
    /// Its lease has passed, or it is being checkpointed; it does not run.
    Paused,
    /// It is finished.
    Finished,
    /// It failed.
    Failed {
        /// What went wrong.
        reason: String,
        /// Whether it ran out of a resource.
        exhausted: bool,
    },
    /// It was checkpointed and ended.
    Checkpointed {
        /// Where it resumes from.
        checkpoint: String,
    },
    /// It was ended without a checkpoint.
    Stopped,
}

impl TaskStatus {
    /// Whether the task is over.
    pub const fn is_over(&self) -> bool {
        !matches!(self, Self::Running | Self::Paused)
    }
}

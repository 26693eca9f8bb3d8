//! Payload that describes what a task does.

use serde::{Deserialize, Serialize};

/// Payload of a task, as JSON. Every field is optional.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Payload {
    /// Work to do, in milliseconds at full speed.
    pub duration_ms: u64,
    /// Memory that the task uses; defaults to its demand.
    pub memory_mib: Option<u32>,
    /// CPU that the task uses; defaults to its demand.
    pub millicores: Option<u32>,
    /// Whether the task fails at its end.
    pub fails: bool,
    /// Time that a checkpoint takes.
    pub checkpoint_ms: u64,
}

impl Default for Payload {
    fn default() -> Self {
        Self {
            duration_ms: 100,
            memory_mib: None,
            millicores: None,
            fails: false,
            checkpoint_ms: 10,
        }
    }
}

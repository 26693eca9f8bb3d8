//! What a task does, as its payload says.

use serde::{Deserialize, Serialize};

/// The payload of a task, as JSON. Every field may be left out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Payload {
    /// Work to do, in milliseconds at full speed.
    pub duration_ms: u64,
    /// Memory that it really uses, in MiB; none stands for what was set aside.
    pub memory_mib: Option<u32>,
    /// Processor time that it really uses, in thousandths of a core; none stands for what was set
    /// aside.
    pub millicores: Option<u32>,
    /// Whether it fails at its end.
    pub fails: bool,
    /// Time that a checkpoint takes, in milliseconds.
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

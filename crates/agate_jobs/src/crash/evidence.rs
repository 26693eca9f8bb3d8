//! What is known of a crash under a run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Largest difference in age at which two runs may equally have caused a crash.
pub const RECENT_START: Duration = Duration::from_millis(40);

/// Longest time from the start of a run to the crash for which the crash counts as prompt. A worker
/// that crashes for another reason rarely does so this soon after a start.
pub const PROMPT_CRASH: Duration = Duration::from_millis(100);

/// The crash of a worker under a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Address of the worker, which outlives its incarnations.
    pub address: String,
    /// Time for which the run ran, by the best estimate of the time of the crash, in milliseconds.
    pub ran_ms: u64,
    /// Time from the start of the run within which the worker crashed, in milliseconds.
    pub within_ms: u64,
    /// Number of other runs that had not been running for longer than this one by
    /// [`RECENT_START`].
    pub peers: u32,
    /// Whether the machine had crashed not long before without any start right before that.
    #[serde(default)]
    pub unstable: bool,
}

impl Crash {
    /// Returns whether the run had just been started.
    pub(super) fn is_recent(&self) -> bool {
        Duration::from_millis(self.ran_ms) <= PROMPT_CRASH
    }

    /// Returns whether the run was started right before the crash.
    pub(super) fn is_prompt(&self) -> bool {
        Duration::from_millis(self.within_ms) <= PROMPT_CRASH
    }

    /// Returns whether this run alone was the newest one.
    pub(super) const fn is_lone(&self) -> bool {
        self.peers == 0
    }

    /// Returns whether this run, and no other, was started right before the crash of a machine that
    /// doesn't crash by itself.
    pub(super) fn is_decisive(&self) -> bool {
        self.is_prompt() && self.is_lone() && !self.unstable
    }
}

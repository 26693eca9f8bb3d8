//! What is known of a crash under a run.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Longest time for which a run counts as recently started. Agents hear from a worker at least every
/// half second, so a run may be unlisted for as long as this before it has surely survived its start.
pub const RECENT_START: Duration = Duration::from_millis(250);

/// Longest time from the start of a run to the crash for which the crash counts as prompt. A worker
/// that crashes for another reason rarely does so this soon after the start of a lone task.
const PROMPT: Duration = Duration::from_millis(150);

/// The crash of a worker under a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Crash {
    /// Address of the worker, which outlives its incarnations.
    pub address: String,
    /// Time for which the run is known to have run, in milliseconds.
    pub ran_ms: u64,
    /// Time from the start of the run within which the worker crashed, in milliseconds.
    pub within_ms: u64,
    /// Number of other runs that had not been running for longer than this one by
    /// [`RECENT_START`].
    pub peers: u32,
}

impl Crash {
    /// Returns whether the run had just been started.
    pub(super) fn is_recent(&self) -> bool {
        Duration::from_millis(self.ran_ms) <= RECENT_START
    }

    /// Returns whether the run, and no other, was started right before the crash.
    pub(super) fn is_decisive(&self) -> bool {
        self.peers == 0 && Duration::from_millis(self.within_ms) <= PROMPT
    }
}

//! Clock readings.

use std::sync::OnceLock;
use std::time::Duration;

use agate_core::{Moment, clock};
use tokio::time::Instant;

/// Start of the runtime's clock in this process, without suspended time. Readings are only compared
/// within the process.
static START: OnceLock<Instant> = OnceLock::new();

/// Returns the current time as a moment, including the time that the machine was suspended.
pub(crate) fn now() -> Moment {
    Moment::ZERO + boottime()
}

/// Returns the time since the process first asked, including the time that the machine was
/// suspended. The runtime's clock, which tests pause, leaves suspension out, so it is added.
pub(crate) fn boottime() -> Duration {
    let start = START.get_or_init(Instant::now);
    clock::suspended() + start.elapsed()
}

/// Converts `time` to whole milliseconds.
pub(crate) fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

//! Readings of the machine's clocks. Decision code gets the time as an argument instead.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

/// Returns the time since the machine booted, including time suspended (`CLOCK_BOOTTIME`).
///
/// All processes of a machine read the same clock, so they agree on a lease deadline on this clock,
/// which keeps approaching while the machine is suspended.
pub fn boot_time() -> Duration {
    read(ClockId::Boottime)
}

/// Returns the time for which the machine has been suspended since it booted.
pub fn suspended() -> Duration {
    boot_time().saturating_sub(read(ClockId::Monotonic))
}

fn read(clock: ClockId) -> Duration {
    let ts = clock_gettime(clock);
    let secs = u64::try_from(ts.tv_sec).unwrap_or(0);
    let nanos = u32::try_from(ts.tv_nsec).unwrap_or(0);
    Duration::new(secs, nanos)
}

/// Returns the wall-clock time in milliseconds since the Unix epoch.
pub fn wall_millis() -> u64 {
    let elapsed = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO);
    u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
}

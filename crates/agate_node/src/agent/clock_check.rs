//! Checks readings of a worker's clock.
//!
//! Leases and starts are limited by the worker's steady clock, and a worker never shortens a lease. A
//! single odd reading must not grant one for hours.

use std::time::Duration;

use agate_jobs::lease::ClockReading;

/// Largest difference from the expected time, for answers that were read late.
const MAX_DEVIATION: Duration = Duration::from_secs(10);

/// The last reading that was not believed.
#[derive(Debug, Default)]
pub(super) struct ClockCheck {
    doubted: Option<ClockReading>,
}

impl ClockCheck {
    /// Returns whether a reading continues the `known` one, or the one before it that was not believed:
    /// two that agree are right.
    pub fn accept(&mut self, reading: ClockReading, known: Option<ClockReading>) -> bool {
        let is_continued = |earlier: ClockReading| continues(reading, earlier);
        let is_first = known.is_none();
        let is_expected = known.is_some_and(is_continued) || self.doubted.is_some_and(is_continued);
        if !is_first && !is_expected {
            self.doubted = Some(reading);
            return false;
        }
        self.doubted = None;
        true
    }
}

/// Returns whether a steady clock may have gone from one reading to the next. One that was read late lies
/// behind; one that lies ahead of the time since then has jumped.
fn continues(reading: ClockReading, earlier: ClockReading) -> bool {
    let deviation = MAX_DEVIATION.as_millis();
    let elapsed = reading.at.saturating_sub(earlier.at).as_millis();
    let (now, then) = (u128::from(reading.worker_ms), u128::from(earlier.worker_ms));
    now + deviation >= then && now <= then + elapsed * 21 / 20 + deviation
}

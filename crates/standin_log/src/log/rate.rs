//! A token bucket that limits appends.

use std::time::Duration;

use agate_core::Moment;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Allows a number of appends each second, with bursts of up to one second's worth.
#[derive(Debug)]
pub(crate) struct RateLimit {
    interval_us: u64,
    /// The moment up to which allowed appends are spoken for.
    taken: Moment,
}

impl RateLimit {
    pub(crate) fn new(per_second: u32) -> Self {
        Self {
            interval_us: MICROS_PER_SECOND / u64::from(per_second.max(1)),
            taken: Moment::ZERO,
        }
    }

    /// Takes one token, or returns when the next one is there.
    pub(crate) fn take(&mut self, now: Moment) -> Result<(), Duration> {
        let start = now.as_micros().max(self.taken.as_micros());
        let taken = start + self.interval_us;
        let horizon = now.as_micros() + MICROS_PER_SECOND;
        if taken > horizon {
            return Err(Duration::from_micros(taken - horizon));
        }
        self.taken = Moment::from_micros(taken);
        Ok(())
    }
}

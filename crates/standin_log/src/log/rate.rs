//! Token bucket that limits the append rate.

use std::time::Duration;

use agate_core::Moment;

const MICROS_PER_SECOND: u64 = 1_000_000;

/// Limits appends per second, with bursts of up to one second's worth.
#[derive(Debug)]
pub(crate) struct RateLimit {
    interval_us: u64,
    /// Moment up to which accepted appends have reserved capacity.
    reserved_until: Moment,
}

impl RateLimit {
    pub(crate) fn new(per_second: u32) -> Self {
        Self {
            interval_us: MICROS_PER_SECOND / u64::from(per_second.max(1)),
            reserved_until: Moment::ZERO,
        }
    }

    /// Takes one token, or returns the time until one is available.
    pub(crate) fn try_acquire(&mut self, now: Moment) -> Result<(), Duration> {
        let start = now.as_micros().max(self.reserved_until.as_micros());
        let reserved_until = start + self.interval_us;
        let horizon = now.as_micros() + MICROS_PER_SECOND;
        if reserved_until > horizon {
            return Err(Duration::from_micros(reserved_until - horizon));
        }
        self.reserved_until = Moment::from_micros(reserved_until);
        Ok(())
    }
}

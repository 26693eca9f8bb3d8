//! The clock that decision code is told the time by.

use agate_core::Moment;
use tokio::time::Instant;

/// Counts from the start of the process on tokio's clock, which tests pause and advance.
#[derive(Debug, Clone, Copy)]
pub(crate) struct ProcessClock {
    start: Instant,
}

impl ProcessClock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            start: Instant::now(),
        }
    }

    /// The time now.
    pub(crate) fn now(self) -> Moment {
        let us = self.start.elapsed().as_micros();
        Moment::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
    }
}

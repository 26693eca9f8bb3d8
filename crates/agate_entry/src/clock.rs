//! Clocks of the process.

use std::time::Duration;

use agate_core::{Moment, clock};
use tokio::time::Instant;

/// Time since the start of the process on tokio's clock, which tests can pause and advance.
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

    /// Returns the current time.
    pub(crate) fn now(self) -> Moment {
        let us = self.start.elapsed().as_micros();
        Moment::from_micros(u64::try_from(us).unwrap_or(u64::MAX))
    }
}

/// Measures how long the machine has been suspended, which tokio's clock omits.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspendClock {
    boot: Duration,
    start: Instant,
}

impl SuspendClock {
    /// Starts the measurement.
    pub(crate) fn start() -> Self {
        Self {
            boot: clock::boot_time(),
            start: Instant::now(),
        }
    }

    /// Returns the time for which the machine has been suspended since the start.
    pub(crate) fn suspended(self) -> Duration {
        let total = clock::boot_time().saturating_sub(self.boot);
        total.saturating_sub(self.start.elapsed())
    }
}

//! The clocks of the process.

use std::time::Duration;

use agate_core::{Moment, clock};
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

/// Measures for how long the machine has been suspended, which the runtime's clock leaves out.
#[derive(Debug, Clone, Copy)]
pub(crate) struct SuspendClock {
    boot: Duration,
    start: Instant,
}

impl SuspendClock {
    /// Starts to measure.
    pub(crate) fn start() -> Self {
        Self {
            boot: clock::boot_time(),
            start: Instant::now(),
        }
    }

    /// Time for which the machine has been suspended since the start.
    pub(crate) fn suspended(self) -> Duration {
        let whole = clock::boot_time().saturating_sub(self.boot);
        whole.saturating_sub(self.start.elapsed())
    }
}

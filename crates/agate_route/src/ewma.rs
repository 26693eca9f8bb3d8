//! Exponentially weighted moving average of durations.

use std::time::Duration;

/// An exponentially weighted moving average (EWMA) of durations.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct EwmaDuration(Option<Duration>);

impl EwmaDuration {
    /// A new sample has a weight of one part in this many.
    const WEIGHT_DIVISOR: u32 = 8;

    pub(crate) fn add(&mut self, sample: Duration) {
        let mean = self.0.map_or(sample, |old| {
            (old * (Self::WEIGHT_DIVISOR - 1) + sample) / Self::WEIGHT_DIVISOR
        });
        self.0 = Some(mean);
    }

    pub(crate) const fn get(self) -> Option<Duration> {
        self.0
    }
}

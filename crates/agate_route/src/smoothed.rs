//! An exponentially smoothed duration.

use std::time::Duration;

/// A mean of durations in which recent samples weigh more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Smoothed(Option<Duration>);

impl Smoothed {
    /// Share of the old mean that each sample replaces: one part in this many.
    const PARTS: u32 = 8;

    pub(crate) fn add(&mut self, sample: Duration) {
        let mean = self.0.map_or(sample, |old| {
            (old * (Self::PARTS - 1) + sample) / Self::PARTS
        });
        self.0 = Some(mean);
    }

    pub(crate) const fn get(self) -> Option<Duration> {
        self.0
    }
}

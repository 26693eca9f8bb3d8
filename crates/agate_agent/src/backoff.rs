//! Delays between tries, with jitter.

use std::time::Duration;

use rand::Rng;

/// Delays that double from a first one up to a longest one, each drawn from its upper half.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    first: Duration,
    longest: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) const fn new(first: Duration, longest: Duration) -> Self {
        Self {
            first,
            longest,
            next: first,
        }
    }

    /// The delay before the next try.
    pub(crate) fn delay(&mut self) -> Duration {
        let delay = jitter(self.next, 0.5);
        self.next = (self.next * 2).min(self.longest);
        delay
    }

    /// Starts from the first delay again, after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Draws a time between `least` times `time` and `time`.
pub(crate) fn jitter(time: Duration, least: f64) -> Duration {
    time.mul_f64(rand::rng().random_range(least..=1.0))
}

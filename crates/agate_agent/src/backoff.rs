//! Delays between tries, with jitter.

use std::time::Duration;

use rand::Rng;

/// Delays that double from a first one up to a longest one, each drawn from its upper half.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    initial: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            next: initial,
        }
    }

    /// The delay before the next try.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = jitter(self.next, 0.5);
        self.next = (self.next * 2).min(self.max);
        delay
    }

    /// Starts from the first delay again, after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = self.initial;
    }
}

/// Draws a time between `least` times `time` and `time`.
pub(crate) fn jitter(base: Duration, min_factor: f64) -> Duration {
    base.mul_f64(rand::rng().random_range(min_factor..=1.0))
}

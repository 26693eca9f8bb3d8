//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Doubles the delay after each attempt up to a maximum, with jitter over the upper half.
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

    /// Returns the delay before the next attempt.
    pub(crate) fn next_delay(&mut self, rng: &mut impl Rng) -> Duration {
        let delay = self.next;
        self.next = (delay * 2).min(self.max);
        delay.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Restarts from the initial delay after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = self.initial;
    }
}

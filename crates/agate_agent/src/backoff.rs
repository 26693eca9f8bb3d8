//! Exponential backoff with jitter.

use std::time::Duration;

use rand::Rng;

/// Delays that double from `initial` up to `max`, each drawn at random from its upper half.
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

    /// Returns the delay before the next attempt and doubles the one after it.
    pub(crate) fn next_delay(&mut self) -> Duration {
        let delay = jitter(self.next, 0.5);
        self.next = (self.next * 2).min(self.max);
        delay
    }

    /// Starts again from the initial delay, after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = self.initial;
    }
}

/// Returns a random duration between `min_factor * base` and `base`.
pub(crate) fn jitter(base: Duration, min_factor: f64) -> Duration {
    base.mul_f64(rand::rng().random_range(min_factor..=1.0))
}

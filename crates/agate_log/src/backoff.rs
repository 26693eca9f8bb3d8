//! Growing pauses between attempts.

use std::time::Duration;

use rand::Rng;

/// Doubles the pause after each attempt up to a limit, and draws from its upper half.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Backoff {
    first: Duration,
    limit: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) const fn new(first: Duration, limit: Duration) -> Self {
        Self {
            first,
            limit,
            next: first,
        }
    }

    /// The next pause.
    pub(crate) fn pause(&mut self, rng: &mut impl Rng) -> Duration {
        let pause = self.next;
        self.next = (pause * 2).min(self.limit);
        pause.mul_f64(rng.random_range(0.5..=1.0))
    }

    /// Begins anew after a success.
    pub(crate) const fn reset(&mut self) {
        self.next = self.first;
    }
}

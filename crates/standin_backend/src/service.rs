//! Service times of requests.

use std::time::Duration;

use rand::Rng;
use rand::rngs::SmallRng;

/// Distribution of service times.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ServiceTime {
    /// Every request takes the same time.
    Fixed(Duration),
    /// Times are distributed uniformly between `low` and `high`.
    Uniform {
        /// Shortest time.
        low: Duration,
        /// Longest time.
        high: Duration,
    },
}

impl ServiceTime {
    pub(crate) fn draw(self, rng: &mut SmallRng) -> Duration {
        match self {
            Self::Fixed(time) => time,
            Self::Uniform { low, high } => rng.random_range(low..=high.max(low)),
        }
    }
}

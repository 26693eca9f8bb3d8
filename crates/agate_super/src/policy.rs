//! How often and how fast a supervisor restarts its children.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;
use rand::Rng;
use tokio::time::Instant;

/// How often and how fast a supervisor restarts its children.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Builder)]
pub struct Policy {
    /// Restarts of one child allowed within [`Policy::window`]; one more escalates.
    #[builder(default = 10)]
    pub restarts: usize,
    /// Time over which restarts are counted.
    #[builder(default = Duration::from_mins(1))]
    pub window: Duration,
    /// Delay before the first restart; it doubles with each further one within the window.
    #[builder(default = Duration::from_millis(50))]
    pub first_delay: Duration,
    /// The longest delay.
    #[builder(default = Duration::from_secs(5))]
    pub max_delay: Duration,
    /// Time that children get to end after a stop before they are aborted.
    #[builder(default = Duration::from_secs(10))]
    pub grace: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Policy {
    /// Delay before a restart that follows `recent` others, with half of it drawn at random.
    pub(crate) fn delay(&self, recent: usize, rng: &mut impl Rng) -> Duration {
        let doublings = u32::try_from(recent.min(16)).unwrap_or(16);
        let full = self
            .first_delay
            .saturating_mul(1 << doublings)
            .min(self.max_delay);
        full.mul_f64(rng.random_range(0.5..=1.0))
    }
}

/// Recent restarts of one child.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<Instant>);

impl History {
    /// Records a restart at `now` and returns how many came before it within `window`.
    pub(crate) fn record(&mut self, now: Instant, window: Duration) -> usize {
        while self
            .0
            .front()
            .is_some_and(|at| now.duration_since(*at) > window)
        {
            self.0.pop_front();
        }
        let recent = self.0.len();
        self.0.push_back(now);
        recent
    }
}

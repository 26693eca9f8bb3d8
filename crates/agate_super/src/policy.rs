//! Restart policy of a supervisor.

use std::collections::VecDeque;
use std::time::Duration;

use bon::Builder;
use rand::Rng;
use tokio::time::Instant;

/// Limits on restarts of children and the backoff between them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Builder)]
pub struct Policy {
    /// Maximum number of restarts of a child within [`Policy::window`]; one more escalates.
    #[builder(default = 10)]
    pub restarts: usize,
    /// Time window over which restarts are counted.
    #[builder(default = Duration::from_mins(1))]
    pub window: Duration,
    /// Delay before the first restart. It doubles with each further restart within the window.
    #[builder(default = Duration::from_millis(50))]
    pub first_delay: Duration,
    /// Maximum delay.
    #[builder(default = Duration::from_secs(5))]
    pub max_delay: Duration,
    /// Time that children have to end after a stop before they are aborted.
    #[builder(default = Duration::from_secs(10))]
    pub grace: Duration,
}

impl Default for Policy {
    fn default() -> Self {
        Self::builder().build()
    }
}

impl Policy {
    /// Returns the delay before a restart that follows `recent` others. Up to half of it is random
    /// jitter.
    pub(crate) fn delay(&self, recent: usize, rng: &mut impl Rng) -> Duration {
        let doublings = u32::try_from(recent.min(16)).unwrap_or(16);
        let full_delay = self
            .first_delay
            .saturating_mul(1 << doublings)
            .min(self.max_delay);
        full_delay.mul_f64(rng.random_range(0.5..=1.0))
    }
}

/// Recent restarts of one child.
#[derive(Debug, Default)]
pub(crate) struct History(VecDeque<Instant>);

impl History {
    /// Records a restart at `now` and returns the number of earlier restarts within `window`.
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

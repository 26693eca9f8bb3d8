//! When a refused caller is told to come back.

use std::time::Duration;

use agate_core::Moment;
use agate_preset::policy::Admission;
use rand::Rng;

/// The longest time that a caller is told to stay away, before jitter.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// Spreads refused callers over the time that it takes to serve them all.
///
/// Each refusal moves the horizon by the time in which one more request can be served, so that
/// the callers of a crowd are told to come back one after another and not all at once.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RetryAfter {
    horizon: Moment,
}

impl RetryAfter {
    /// The time to tell a caller refused at `time`. `drain` is the time in which the present queue
    /// is worked off, `each` the time in which one request is served by all slots together.
    pub(super) fn next(
        &mut self,
        policy: &Admission,
        time: Moment,
        drain: Duration,
        each: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        let least = Duration::from_millis(u64::from(policy.retry_ms));
        let base = self.horizon.max(time + least.max(drain)) + each;
        self.horizon = base.min(time + MAX_RETRY);
        let jitter = f64::from(policy.jitter_percent) / 100.0 * rng.random::<f64>();
        time.until(self.horizon).mul_f64(1.0 + jitter)
    }
}

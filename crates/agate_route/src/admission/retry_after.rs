//! Retry-after times for refused callers.

use std::time::Duration;

use agate_core::Moment;
use agate_preset::policy::Admission;
use rand::Rng;

/// Longest retry-after time before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Spreads the retries of refused callers over the time needed to serve them all.
///
/// Each refusal moves the horizon by the time needed to serve one more request, so that callers
/// refused together retry one after another instead of all at once.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct RetryAfter {
    horizon: Moment,
}

impl RetryAfter {
    /// Returns the retry-after time for a caller refused at `time`. `drain_time` is the time
    /// needed to work off the current queue, and `interval` the mean time between completions with
    /// all slots busy.
    pub(super) fn next(
        &mut self,
        policy: &Admission,
        time: Moment,
        drain_time: Duration,
        interval: Duration,
        rng: &mut impl Rng,
    ) -> Duration {
        let min_delay = Duration::from_millis(u64::from(policy.retry_ms));
        let base = self.horizon.max(time + min_delay.max(drain_time)) + interval;
        self.horizon = base.min(time + MAX_RETRY_AFTER);
        let jitter = f64::from(policy.jitter_percent) / 100.0 * rng.random::<f64>();
        time.until(self.horizon).mul_f64(1.0 + jitter)
    }
}

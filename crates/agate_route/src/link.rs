//! Limits the bytes sent over the link between regions.

use std::time::Duration;

use agate_core::Moment;
use agate_preset::policy::Link;

/// A token bucket of the bytes that one entry may exchange with other regions.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ByteBudget {
    bytes: f64,
    refilled_at: Moment,
}

impl ByteBudget {
    /// Creates a full bucket.
    pub fn new(policy: Link, now: Moment) -> Self {
        Self {
            bytes: f64::from(policy.burst_bytes),
            refilled_at: now,
        }
    }

    /// Whether `bytes` may be sent now.
    pub fn allows(&self, policy: Link, bytes: u64, now: Moment) -> bool {
        self.available(policy, now) >= bytes as f64
    }

    /// Takes `bytes` from the bucket. The balance may become negative, because received bytes count
    /// as well.
    pub fn take(&mut self, policy: Link, bytes: u64, now: Moment) {
        self.bytes = self.available(policy, now) - bytes as f64;
        self.refilled_at = now;
    }

    /// Returns the time until `bytes` may be sent.
    pub fn wait(&self, policy: Link, bytes: u64, now: Moment) -> Duration {
        let missing = bytes as f64 - self.available(policy, now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        if policy.rate_bytes == 0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(missing / f64::from(policy.rate_bytes))
    }

    fn available(&self, policy: Link, now: Moment) -> f64 {
        let refill = now.since(self.refilled_at).as_secs_f64() * f64::from(policy.rate_bytes);
        (self.bytes + refill).min(f64::from(policy.burst_bytes))
    }
}

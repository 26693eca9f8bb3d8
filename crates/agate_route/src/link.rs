//! Whether a request may use the link between regions.

use std::time::Duration;

use agate_core::Moment;
use agate_preset::policy::Link;

/// Bytes that one entry may still send to other regions: a token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ByteBudget {
    bytes: f64,
    at: Moment,
}

impl ByteBudget {
    /// Starts with a full burst.
    pub fn new(policy: Link, now: Moment) -> Self {
        Self {
            bytes: f64::from(policy.burst_bytes),
            at: now,
        }
    }

    /// Whether `bytes` may be sent now.
    pub fn allows(&self, policy: Link, bytes: u64, now: Moment) -> bool {
        self.filled(policy, now) >= bytes as f64
    }

    /// Takes `bytes` out, below zero if need be: what was received counts as well.
    pub fn take(&mut self, policy: Link, bytes: u64, now: Moment) {
        self.bytes = self.filled(policy, now) - bytes as f64;
        self.at = now;
    }

    /// How long until `bytes` may be sent.
    pub fn wait(&self, policy: Link, bytes: u64, now: Moment) -> Duration {
        let missing = bytes as f64 - self.filled(policy, now);
        if missing <= 0.0 {
            return Duration::ZERO;
        }
        if policy.rate_bytes == 0 {
            return Duration::MAX;
        }
        Duration::from_secs_f64(missing / f64::from(policy.rate_bytes))
    }

    fn filled(&self, policy: Link, now: Moment) -> f64 {
        let earned = now.since(self.at).as_secs_f64() * f64::from(policy.rate_bytes);
        (self.bytes + earned).min(f64::from(policy.burst_bytes))
    }
}

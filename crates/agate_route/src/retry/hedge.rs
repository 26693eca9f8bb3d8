//! Hedging: sending a second attempt while the first is unanswered.

use std::time::Duration;

use agate_core::{ClassName, Moment};
use agate_preset::policy::Retries;

use super::{RetryBudgets, RetryContext};
use crate::per_class::PerClass;
use crate::quantile::QuantileEstimator;

/// Tracks answer latencies and decides when to hedge.
#[derive(Debug)]
pub struct Hedger {
    percent: u32,
    latencies: PerClass<QuantileEstimator>,
}

impl Hedger {
    /// Creates an instance without samples.
    pub fn new(policy: &Retries) -> Self {
        Self {
            percent: policy.hedge_percent,
            latencies: PerClass::new(QuantileEstimator::new(policy.hedge_percent)),
        }
    }

    /// Replaces the policy. If the quantile changes, all samples are discarded.
    pub fn set_policy(&mut self, policy: &Retries) {
        if policy.hedge_percent != self.percent {
            *self = Self::new(policy);
        }
    }

    /// Records the latency of a complete answer.
    pub fn record_latency(&mut self, class: &ClassName, latency: Duration) {
        if self.percent < 100 {
            self.latencies.get_mut(class).add(latency);
        }
    }

    /// Returns how long to wait for the first attempt before hedging, or `None` if no
    /// hedge is to be sent.
    pub fn hedge_delay(&self, class: &ClassName) -> Option<Duration> {
        if self.percent >= 100 {
            return None;
        }
        self.latencies.get(class).get()
    }

    /// Decides whether to send a second attempt to another member now. Hedges and retries share one
    /// budget.
    pub fn decide(
        &self,
        policy: &Retries,
        budgets: &mut RetryBudgets,
        request: &RetryContext<'_>,
        now: Moment,
    ) -> HedgeDecision {
        let in_time = request.deadline.remaining(now) > request.expected_latency;
        let allowed = request.repeatable && request.attempts < policy.attempts;
        if self.percent >= 100 || !allowed || !in_time {
            return HedgeDecision::Wait;
        }
        match budgets.try_take(request.caller, request.class, now) {
            Some(()) => HedgeDecision::Send,
            None => HedgeDecision::Wait,
        }
    }
}

/// Decision on a hedge.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HedgeDecision {
    /// Send the second attempt.
    Send,
    /// Keep waiting for the first attempt.
    Wait,
}

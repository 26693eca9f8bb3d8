//! The rule for hedges: a second attempt while the first has not been answered.

use std::time::Duration;

use agate_core::{ClassName, Moment};
use agate_preset::policy::Retries;

use super::{RetryBudgets, RetryContext};
use crate::per_class::PerClass;
use crate::quantile::QuantileEstimator;

/// Learns how long answers take and decides on hedges.
#[derive(Debug)]
pub struct Hedger {
    percent: u32,
    latencies: PerClass<QuantileEstimator>,
}

impl Hedger {
    /// Starts without knowledge.
    pub fn new(policy: &Retries) -> Self {
        Self {
            percent: policy.hedge_percent,
            latencies: PerClass::new(QuantileEstimator::new(policy.hedge_percent)),
        }
    }

    /// Replaces the policy; a changed quantile is learned anew.
    pub fn set_policy(&mut self, policy: &Retries) {
        if policy.hedge_percent != self.percent {
            *self = Self::new(policy);
        }
    }

    /// Takes the latency of a whole answer.
    pub fn record_latency(&mut self, class: &ClassName, latency: Duration) {
        if self.percent < 100 {
            self.latencies.get_mut(class).add(latency);
        }
    }

    /// How long after the first attempt to ask for a hedge, or `None` if there are none.
    pub fn delay(&self, class: &ClassName) -> Option<Duration> {
        if self.percent >= 100 {
            return None;
        }
        self.latencies.get(class).get()
    }

    /// Whether to send a second attempt now, at another member. It is taken out of the same
    /// budget as a repeat.
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

/// Whether to send a second attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum HedgeDecision {
    /// Send it.
    Send,
    /// Wait for the first.
    Wait,
}

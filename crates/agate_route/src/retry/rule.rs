//! Retry decisions.

use std::time::Duration;

use agate_core::{CallerName, ClassName, Moment};
use agate_preset::policy::Retries;
use rand::Rng;
use strum::Display;

use super::RetryBudgets;
use crate::budget::Deadline;

/// Upper bound of the backoff before the second attempt; doubles with each further attempt.
const BASE_BACKOFF: Duration = Duration::from_millis(10);

/// Longest backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of times that the backoff doubles.
const MAX_DOUBLINGS: u32 = 10;

/// A request that may need another attempt.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext<'a> {
    /// Caller that sent the request.
    pub caller: &'a CallerName,
    /// Class of the request.
    pub class: &'a ClassName,
    /// Whether it is safe to run the request more than once.
    pub repeatable: bool,
    /// Number of attempts made, including the first.
    pub attempts: u32,
    /// Time by which the caller must have the answer.
    pub deadline: Deadline,
    /// Expected latency of an answer.
    pub expected_latency: Duration,
}

/// Decision on a retry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry at another member after this backoff.
    After(Duration),
    /// Don't retry; the caller gets the final answer now.
    No(NoRetryReason),
}

/// Why a request is not retried.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NoRetryReason {
    /// It may not be safe to run the request more than once.
    NotRepeatable,
    /// All attempts are used up.
    Attempts,
    /// Too little time is left until the deadline.
    Deadline,
    /// The retry budget of the caller and class is used up.
    Budget,
}

/// Decides whether to retry a request. A retry is taken from the retry budget.
pub fn decide(
    policy: &Retries,
    budgets: &mut RetryBudgets,
    request: &RetryContext<'_>,
    now: Moment,
    rng: &mut impl Rng,
) -> RetryDecision {
    if !request.repeatable {
        return RetryDecision::No(NoRetryReason::NotRepeatable);
    }
    if request.attempts >= policy.attempts {
        return RetryDecision::No(NoRetryReason::Attempts);
    }
    let backoff = backoff(request.attempts, rng);
    if backoff + request.expected_latency >= request.deadline.remaining(now) {
        return RetryDecision::No(NoRetryReason::Deadline);
    }
    if budgets
        .try_take(request.caller, request.class, now)
        .is_none()
    {
        return RetryDecision::No(NoRetryReason::Budget);
    }
    RetryDecision::After(backoff)
}

/// Returns a backoff drawn uniformly from zero to a bound that doubles with each attempt.
fn backoff(attempts: u32, rng: &mut impl Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let bound = (BASE_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
    bound.mul_f64(rng.random::<f64>())
}

//! The rule for repeats.

use std::time::Duration;

use agate_core::{CallerName, ClassName, Moment};
use agate_preset::policy::Retries;
use rand::Rng;
use strum::Display;

use super::RetryBudgets;
use crate::budget::Deadline;

/// Pause before the second attempt; doubles with each further one.
const BASE_PAUSE: Duration = Duration::from_millis(10);

/// The longest pause.
const MAX_PAUSE: Duration = Duration::from_secs(1);

/// Doublings of the pause at most.
const MAX_DOUBLINGS: u32 = 10;

/// A request whose newest attempt has failed or was refused.
#[derive(Debug, Clone, Copy)]
pub struct RetryContext<'a> {
    /// Who sent it.
    pub caller: &'a CallerName,
    /// Its class.
    pub class: &'a ClassName,
    /// Whether running it twice does no harm.
    pub repeatable: bool,
    /// Attempts made, the first included.
    pub attempts: u32,
    /// When its answer must be with the caller.
    pub deadline: Deadline,
    /// Time that an answer usually takes.
    pub expected_latency: Duration,
}

/// Whether to repeat a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Another attempt, at another member, after a pause.
    After(Duration),
    /// None; the caller gets its final answer now.
    No(NoRetryReason),
}

/// Why a request is not repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum NoRetryReason {
    /// Running it twice could do harm.
    NotRepeatable,
    /// It has had all its attempts.
    Attempts,
    /// Its deadline leaves no time.
    Deadline,
    /// Its caller and class have used up their extra attempts.
    Budget,
}

/// Decides whether to repeat a request, and takes the extra attempt out of its budget if so.
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
    let pause = pause(request.attempts, rng);
    if pause + request.expected_latency >= request.deadline.remaining(now) {
        return RetryDecision::No(NoRetryReason::Deadline);
    }
    if budgets
        .try_take(request.caller, request.class, now)
        .is_none()
    {
        return RetryDecision::No(NoRetryReason::Budget);
    }
    RetryDecision::After(pause)
}

/// A pause drawn evenly from zero up to a bound that doubles with each attempt.
fn pause(attempts: u32, rng: &mut impl Rng) -> Duration {
    let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
    let bound = (BASE_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
    bound.mul_f64(rng.random::<f64>())
}

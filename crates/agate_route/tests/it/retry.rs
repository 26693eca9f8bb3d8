//! Retries and hedges.

use agate_core::{CallerName, ClassName};
use agate_preset::policy::Retries;
use agate_route::budget::Deadline;
use agate_route::retry::{
    HedgeDecision, Hedger, NoRetryReason, RetryBudgets, RetryContext, RetryDecision, decide,
};
use rstest::rstest;

use super::support::{at, caller, class, ms, rng};

/// A request of a repeatable class after its first attempt, one second before its deadline.
fn retry_context<'a>(caller: &'a CallerName, class: &'a ClassName) -> RetryContext<'a> {
    RetryContext {
        caller,
        class,
        repeatable: true,
        attempts: 1,
        deadline: Deadline::after(at(0), ms(1_000)),
        expected_latency: ms(20),
    }
}

#[rstest]
#[case::not_repeatable(false, 1, 0, Some(NoRetryReason::NotRepeatable))]
#[case::all_attempts_made(true, 3, 0, Some(NoRetryReason::Attempts))]
#[case::no_time_left(true, 1, 985, Some(NoRetryReason::Deadline))]
#[case::past_its_deadline(true, 1, 5_000, Some(NoRetryReason::Deadline))]
#[case::retried(true, 2, 0, None)]
fn request_is_retried_only_if_every_rule_allows_it(
    #[case] repeatable: bool,
    #[case] attempts: u32,
    #[case] now: u64,
    #[case] expected: Option<NoRetryReason>,
) {
    let (caller, class) = (caller(), class());
    let request = RetryContext {
        repeatable,
        attempts,
        ..retry_context(&caller, &class)
    };
    let mut budgets = RetryBudgets::new(at(0));
    let policy = Retries::default();
    let found = match decide(&policy, &mut budgets, &request, at(now), &mut rng()) {
        RetryDecision::After(pause) => {
            assert!(pause <= ms(20));
            None
        }
        RetryDecision::No(reason) => Some(reason),
    };
    assert_eq!(found, expected);
}

#[test]
fn retries_of_many_failures_stay_within_the_budget() {
    let (caller, class) = (caller(), class());
    let request = retry_context(&caller, &class);
    let mut budgets = RetryBudgets::new(at(0));
    let policy = Retries::default();
    let mut extra = 0;
    for _ in 0..10_000 {
        budgets.deposit(&policy, &caller, &class, at(0));
        for _ in 0..policy.attempts {
            let retry = decide(&policy, &mut budgets, &request, at(0), &mut rng());
            extra += u32::from(matches!(retry, RetryDecision::After(_)));
        }
    }
    assert!((1_000..=1_001).contains(&extra), "{extra} extra attempts");
}

#[test]
fn saved_retry_budget_is_capped() {
    let (caller, class) = (caller(), class());
    let request = retry_context(&caller, &class);
    let mut budgets = RetryBudgets::new(at(0));
    let policy = Retries::default();
    for _ in 0..10_000 {
        budgets.deposit(&policy, &caller, &class, at(0));
    }
    let is_retried = |_: &u32| {
        let retry = decide(&policy, &mut budgets, &request, at(0), &mut rng());
        matches!(retry, RetryDecision::After(_))
    };
    assert_eq!((0..100).filter(is_retried).count(), 10);
}

#[test]
fn callers_and_classes_have_separate_budgets() {
    let (one, other) = (caller(), CallerName::new("broker").unwrap());
    let quote = ClassName::new("quote").unwrap();
    let mut budgets = RetryBudgets::new(at(0));
    assert_eq!(budgets.try_take(&one, &class(), at(0)), Some(()));
    assert_eq!(budgets.try_take(&one, &class(), at(0)), None);
    assert_eq!(budgets.try_take(&one, &quote, at(0)), Some(()));
    assert_eq!(budgets.try_take(&other, &class(), at(0)), Some(()));
}

#[test]
fn number_of_budgets_is_bounded() {
    let mut budgets = RetryBudgets::new(at(0));
    let policy = Retries::default();
    for id in 0..12_000 {
        let caller = CallerName::new(format!("caller-{id}")).unwrap();
        budgets.deposit(&policy, &caller, &class(), at(0));
    }
    assert_eq!(budgets.len(), 10_000);
    let late = CallerName::new("late").unwrap();
    budgets.deposit(&policy, &late, &class(), at(60_000));
    assert_eq!(budgets.len(), 1);
}

#[test]
fn hedges_wait_for_the_configured_quantile_and_use_the_retry_budget() {
    let policy = Retries {
        hedge_percent: 90,
        ..Retries::default()
    };
    let (caller, class) = (caller(), class());
    let mut hedger = Hedger::new(&policy);
    assert_eq!(hedger.hedge_delay(&class), None);
    for i in 0..20_000_u64 {
        hedger.record_latency(&class, ms(10 + i * 7_919 % 90));
    }
    let wait = hedger.hedge_delay(&class).unwrap();
    assert!(wait > ms(80) && wait < ms(100), "{wait:?}");
    let request = retry_context(&caller, &class);
    let mut budgets = RetryBudgets::new(at(0));
    let decide = |budgets: &mut _, request| hedger.decide(&policy, budgets, request, at(0));
    let single = RetryContext {
        repeatable: false,
        ..request
    };
    assert_eq!(decide(&mut budgets, &single), HedgeDecision::Wait);
    assert_eq!(decide(&mut budgets, &request), HedgeDecision::Send);
    assert_eq!(decide(&mut budgets, &request), HedgeDecision::Wait);
}

#[test]
fn hedge_percent_of_100_disables_hedging() {
    let policy = Retries::default();
    let mut hedger = Hedger::new(&policy);
    hedger.record_latency(&class(), ms(20));
    assert_eq!(hedger.hedge_delay(&class()), None);
}

//! Hop budgets and the byte budget of the link between regions.

use std::time::Duration;

use agate_preset::policy::Link;
use agate_route::budget::Deadline;
use agate_route::link::ByteBudget;
use rstest::rstest;

use super::support::{at, ms};

#[rstest]
#[case(0, 0, Some(1_000))]
#[case(100, 8, Some(884))]
#[case(990, 8, None)]
#[case(1_000, 0, None)]
#[case(5_000, 0, None)]
fn hop_budget_excludes_the_round_trip(
    #[case] now: u64,
    #[case] delay: u64,
    #[case] expected: Option<u64>,
) {
    let deadline = Deadline::after(at(0), ms(1_000));
    assert_eq!(deadline.hop_budget_ms(at(now), ms(delay)), expected);
}

#[test]
fn link_allows_a_burst_and_then_its_rate() {
    let link = Link {
        rate_bytes: 1_000,
        burst_bytes: 5_000,
    };
    let mut budget = ByteBudget::new(link, at(0));
    assert!(budget.allows(link, 5_000, at(0)));
    budget.take(link, 5_000, at(0));
    assert!(!budget.allows(link, 1, at(0)));
    assert_eq!(budget.wait(link, 2_000, at(0)), Duration::from_secs(2));
    assert!(!budget.allows(link, 2_000, at(1_999)));
    assert!(budget.allows(link, 2_000, at(2_000)));
    assert!(!budget.allows(link, 5_001, at(3_600_000)));
}

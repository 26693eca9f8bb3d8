//! Tests of workers whose agents report, but can't start anything.

use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{Record, StartBlock, WorkerReport};
use rstest::rstest;

use crate::fleet::{Fleet, LEASE};
use crate::support::{report, step, submitted};
use crate::suspicion::{fleet_with_one_run, placements};

/// Tasks were bound one after another to workers whose agents reported, but could not carry out orders, and
/// waited there.
#[rstest]
#[case::orders(StartBlock::OrdersStale)]
#[case::first_load_of_zones(StartBlock::ZonesNotLoaded)]
#[case::zones(StartBlock::ZonesStale)]
fn nothing_is_bound_to_a_worker_whose_agent_starts_nothing(#[case] start_block: StartBlock) {
    let mut fleet = fleet_with_one_run();
    fleet.fold(Record::new(Body::Worker(blocked_by(start_block))));
    assert_eq!(fleet.scheduler.bound_runs(), 1, "what runs goes on");
    fleet.fold(submitted(2, vec![step(1)]));
    assert!(fleet.place().is_empty());
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    assert_eq!(fleet.place().len(), 1);
}

/// Tasks were bound one after another to workers whose orders the log did not take, and waited for the log
/// beside workers with room.
#[test]
fn nothing_is_bound_to_a_worker_whose_orders_the_log_does_not_take() {
    let mut fleet = fleet_with_one_run();
    fleet.scheduler.hold_orders(|worker| worker == "a");
    fleet.fold(submitted(2, vec![step(1)]));
    assert!(placements(&mut fleet).is_empty());
    fleet.fold(Record::new(Body::Worker(report("b", 2))));
    assert_eq!(placements(&mut fleet), [("b".to_owned(), 1)]);
    fleet.scheduler.hold_orders(|_| false);
    fleet.fold(submitted(3, vec![step(8)]));
    let placed = placements(&mut fleet);
    assert!(placed.iter().any(|(worker, _)| worker == "a"));
}

/// Tasks were bound to workers whose agents had stopped while the main stream was away, and waited for the
/// suspicion and the lease.
#[test]
fn nothing_is_bound_to_a_worker_that_is_unheard_since_a_gap_in_the_reading() {
    let mut fleet = fleet_with_one_run();
    fleet.now = fleet.now + Duration::from_secs(5);
    fleet.fold(Record::new(Body::Worker(report("b", 2))));
    fleet.now = fleet.now + Duration::from_millis(20);
    fleet.update_suspicions(fleet.now);
    fleet.fold(submitted(2, vec![step(9)]));
    let placed = placements(&mut fleet);
    assert!(!placed.is_empty(), "the other is heard of after the gap");
    assert!(placed.iter().all(|(worker, _)| worker == "b"));
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    let placed = placements(&mut fleet);
    assert!(placed.iter().any(|(worker, _)| worker == "a"));
}

/// A run that was bound to such a worker was never started nor ended while the agent reported, however long
/// it could not read its orders.
#[rstest]
#[case::orders(StartBlock::OrdersStale, 1)]
#[case::zones(StartBlock::ZonesStale, 0)]
fn runs_of_an_agent_that_cannot_read_its_orders_continue_elsewhere(
    #[case] start_block: StartBlock,
    #[case] expected: usize,
) {
    let mut fleet = fleet_with_one_run();
    // The first second raises the suspicion.
    for second in 0..LEASE.as_secs() + 2 {
        fleet.fold(Record::new(Body::Worker(blocked_by(start_block))));
        fleet.fold(Record::new(Body::Worker(report("b", 2))));
        assert!(placements(&mut fleet).is_empty(), "after {second} s");
        fleet.advance(Duration::from_secs(1));
    }
    assert_eq!(placements(&mut fleet).len(), expected);
}

/// The worker of an agent that reads its orders again keeps what it runs.
#[test]
fn an_agent_that_reads_its_orders_again_keeps_its_runs() {
    let mut fleet = fleet_with_one_run();
    fleet.fold(Record::new(Body::Worker(blocked_by(
        StartBlock::OrdersStale,
    ))));
    fleet.advance(Duration::from_secs(1));
    assert!(fleet.suspicions()[0].suspected);
    let mut answer = report("a", 1);
    answer.acked_suspicion = 1;
    fleet.fold(Record::new(Body::Worker(answer)));
    fleet.advance(Duration::from_secs(1));
    assert!(!fleet.suspicions()[1].suspected);
    assert_eq!(fleet.scheduler.bound_runs(), 1);
}

/// Without a run, nothing waits for it to be settled.
#[test]
fn an_agent_that_cannot_read_its_orders_is_not_suspected_without_runs() {
    let mut fleet = Fleet::new(&[blocked_by(StartBlock::OrdersStale)]);
    fleet.advance(Duration::from_secs(1));
    assert!(fleet.suspicions().is_empty());
}

fn blocked_by(start_block: StartBlock) -> WorkerReport {
    WorkerReport {
        start_block: Some(start_block),
        ..report("a", 1)
    }
}

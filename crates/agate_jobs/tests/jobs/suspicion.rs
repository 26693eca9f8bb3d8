//! Workers whose agents are silent, and workers that come back.

use std::time::Duration;

use agate_jobs::plan::LastContact;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, WorkerState};

use crate::fleet::{Fleet, LEASE};
use crate::support::{ended, report, step, submitted, task};

fn one_bound() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet
}

fn rebound(fleet: &mut Fleet) -> Vec<(String, u32)> {
    let placed = fleet.place().into_iter();
    placed.map(|placed| (placed.worker, placed.run)).collect()
}

#[test]
fn a_silent_worker_keeps_its_runs_until_its_lease_has_lapsed() {
    let mut fleet = one_bound();
    fleet.pass(Duration::from_secs(2));
    assert!(fleet.suspicions()[0].suspected);
    for _ in 0..LEASE.as_secs() {
        fleet.fold(Record::new(Body::Worker(report("b", 2))));
        fleet.pass(Duration::from_secs(1));
    }
    assert!(
        rebound(&mut fleet).is_empty(),
        "the lease has not lapsed for certain"
    );
    fleet.fold(Record::new(Body::Worker(report("b", 2))));
    fleet.pass(Duration::from_millis(400));
    assert_eq!(rebound(&mut fleet), [("b".to_owned(), 2)]);
    assert_eq!(
        fleet.suspicions().last().map(|s| s.incarnation.term),
        Some(1)
    );
}

#[test]
fn an_agent_that_answers_keeps_its_runs() {
    let mut fleet = one_bound();
    fleet.pass(Duration::from_secs(2));
    let mut answer = report("a", 1);
    answer.acked_suspicion = 1;
    fleet.fold(Record::new(Body::Worker(answer)));
    fleet.pass(Duration::from_millis(1));
    assert!(!fleet.suspicions()[1].suspected);
    fleet.pass(Duration::from_secs(1));
    assert_eq!(fleet.scheduler.bound_runs(), 1);
}

#[test]
fn a_report_that_is_older_than_the_suspicion_does_not_clear_it() {
    let mut fleet = one_bound();
    fleet.pass(Duration::from_secs(2));
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.pass(LEASE + Duration::from_millis(400));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

#[test]
fn nobody_is_suspected_before_the_log_has_been_read_for_a_while() {
    let mut fleet = one_bound();
    fleet.now = fleet.now + Duration::from_secs(10);
    let since = fleet.now;
    fleet.scheduler.update_suspicions(fleet.now, since, LEASE);
    assert!(fleet.scheduler.take_effects().is_empty());
}

#[rstest::rstest]
#[case::restarted_under_its_name(report("a", 9))]
#[case::lapsed(lapsed())]
#[case::gone(gone())]
#[case::another_at_its_address(at_the_same_address())]
fn runs_are_freed_at_once_by(#[case] news: agate_jobs::WorkerReport) {
    let mut fleet = one_bound();
    fleet.fold(Record::new(Body::Worker(news)));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

fn lapsed() -> agate_jobs::WorkerReport {
    agate_jobs::WorkerReport {
        state: WorkerState::Lapsed,
        ..report("a", 1)
    }
}

fn gone() -> agate_jobs::WorkerReport {
    agate_jobs::WorkerReport {
        state: WorkerState::Gone,
        ..report("a", 1)
    }
}

fn at_the_same_address() -> agate_jobs::WorkerReport {
    agate_jobs::WorkerReport {
        address: "a:1".to_owned(),
        ..report("z", 9)
    }
}

#[test]
fn an_older_worker_at_the_address_of_a_known_one_takes_no_tasks() {
    let mut fleet = Fleet::new(&[at_the_same_address()]);
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(rebound(&mut fleet), [("z".to_owned(), 1)]);
}

#[test]
fn a_successor_adopts_bindings_and_drops_orders_of_ended_runs() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(2)]));
    fleet.place();
    let orders = std::mem::take(&mut fleet.orders);
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    let mut successor = agate_jobs::plan::Scheduler::restore(
        &fleet.table,
        orders,
        &LastContact::default(),
        fleet.now,
    );
    assert_eq!(successor.bound_runs(), 1);
    assert!(successor.place(&fleet.table, fleet.now, 1_000).is_empty());
    assert_eq!(successor.take_effects().len(), 1, "one order is dropped");
}

/// Machines are replaced all day; what is kept of them must not grow.
#[test]
fn nothing_is_kept_of_a_worker_that_has_left() {
    let mut fleet = one_bound();
    fleet.fold(Record::new(Body::Worker(gone())));
    fleet.pass(Duration::from_millis(100));
    assert!(fleet.table.worker("a").is_none());
    let dropped = |record: &Record| record.key == "s/a" && record.body.is_none();
    assert_eq!(
        fleet.orders.iter().filter(|record| dropped(record)).count(),
        1
    );
    fleet.pass(Duration::from_millis(100));
    assert_eq!(
        fleet.orders.iter().filter(|record| dropped(record)).count(),
        1
    );
    fleet.fold(Record::new(Body::Worker(report("a", 9))));
    assert_eq!(rebound(&mut fleet), [("a".to_owned(), 2)]);
}

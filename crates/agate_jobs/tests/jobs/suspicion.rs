//! Tests of workers whose agents fall silent, and of workers that leave or restart.

use std::time::Duration;

use agate_jobs::plan::LastContact;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, WorkerState};

use crate::fleet::{Fleet, LEASE};
use crate::support::{ended, report, step, submitted, task};

fn fleet_with_one_run() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet
}

fn placements(fleet: &mut Fleet) -> Vec<(String, u32)> {
    let placed = fleet.place().into_iter();
    placed.map(|placed| (placed.worker, placed.run)).collect()
}

#[test]
fn a_silent_worker_keeps_its_runs_until_its_lease_has_lapsed() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    assert!(fleet.suspicions()[0].suspected);
    for _ in 0..LEASE.as_secs() {
        fleet.fold(Record::new(Body::Worker(report("b", 2))));
        fleet.advance(Duration::from_secs(1));
    }
    assert!(
        placements(&mut fleet).is_empty(),
        "the lease may not have lapsed yet"
    );
    fleet.fold(Record::new(Body::Worker(report("b", 2))));
    fleet.advance(Duration::from_millis(400));
    assert_eq!(placements(&mut fleet), [("b".to_owned(), 2)]);
    assert_eq!(
        fleet.suspicions().last().map(|s| s.incarnation.term),
        Some(1)
    );
}

#[test]
fn a_worker_keeps_its_runs_if_its_agent_acknowledges_the_suspicion() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    let mut answer = report("a", 1);
    answer.acked_suspicion = 1;
    fleet.fold(Record::new(Body::Worker(answer)));
    fleet.advance(Duration::from_millis(1));
    assert!(!fleet.suspicions()[1].suspected);
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.scheduler.bound_runs(), 1);
}

#[test]
fn a_report_that_is_older_than_the_suspicion_does_not_clear_it() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.advance(LEASE + Duration::from_millis(400));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

#[test]
fn no_worker_is_suspected_until_the_log_has_been_read_for_a_while() {
    let mut fleet = fleet_with_one_run();
    fleet.now = fleet.now + Duration::from_secs(10);
    let since = fleet.now;
    fleet.scheduler.update_suspicions(fleet.now, since, LEASE);
    assert!(fleet.scheduler.take_effects().is_empty());
}

#[rstest::rstest]
#[case::restart_under_the_same_name(report("a", 9))]
#[case::lapse(lapsed())]
#[case::departure(gone())]
#[case::newer_worker_at_the_same_address(at_the_same_address())]
fn runs_are_released_immediately_on(#[case] new_report: agate_jobs::WorkerReport) {
    let mut fleet = fleet_with_one_run();
    fleet.fold(Record::new(Body::Worker(new_report)));
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
fn an_older_worker_at_a_known_address_gets_no_tasks() {
    let mut fleet = Fleet::new(&[at_the_same_address()]);
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(placements(&mut fleet), [("z".to_owned(), 1)]);
}

#[test]
fn a_new_leader_restores_bindings_and_drops_orders_of_ended_runs() {
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

/// Machines are replaced all day, so the records of departed workers must not accumulate.
#[test]
fn records_of_a_departed_worker_are_dropped_once() {
    let mut fleet = fleet_with_one_run();
    fleet.fold(Record::new(Body::Worker(gone())));
    fleet.advance(Duration::from_millis(100));
    assert!(fleet.table.worker("a").is_none());
    let dropped = |record: &Record| record.key == "s/a" && record.body.is_none();
    assert_eq!(
        fleet.orders.iter().filter(|record| dropped(record)).count(),
        1
    );
    fleet.advance(Duration::from_millis(100));
    assert_eq!(
        fleet.orders.iter().filter(|record| dropped(record)).count(),
        1
    );
    fleet.fold(Record::new(Body::Worker(report("a", 9))));
    assert_eq!(placements(&mut fleet), [("a".to_owned(), 2)]);
}

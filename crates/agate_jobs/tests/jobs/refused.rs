//! Tests of orders to start runs that the log has refused.

use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{EndCause, LossReason, Record, RunEnd};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{report, step, submitted};
use crate::suspicion::{fleet_with_one_run, placements};

/// What was bound as the log began to refuse orders waited for it beside workers with room.
#[test]
fn a_run_whose_order_was_refused_continues_elsewhere_under_a_new_number() {
    let mut fleet = fleet_with_one_run();
    fleet.fold(Record::new(Body::Worker(report("b", 2))));
    fleet.scheduler.hold_orders(|worker| worker == "a");
    refuse_order(&mut fleet);
    assert_eq!(placements(&mut fleet), [("b".to_owned(), 2)]);
}

/// Another leader reads neither the order nor the binding, but must not use the number again.
#[test]
fn a_new_leader_binds_the_task_of_a_refused_order_under_a_new_number() {
    let mut fleet = fleet_with_one_run();
    refuse_order(&mut fleet);
    fleet.take_over();
    assert_eq!(placements(&mut fleet), [("a".to_owned(), 2)]);
}

/// The leader may learn of the refusal only after the run has been settled and the task has been bound again.
#[test]
fn a_refused_order_of_an_earlier_run_ends_nothing() {
    let mut fleet = fleet_with_one_run();
    let order = fleet.issued_orders().remove(0);
    fleet.fold(Record::new(Body::Ended(RunEnd {
        task: order.task,
        run: 1,
        cause: EndCause::Lost,
        checkpoint: String::new(),
        worker: "a".to_owned(),
        ran_ms: 0,
        loss: Some(LossReason::Left),
        crash: None,
    })));
    assert_eq!(placements(&mut fleet), [("a".to_owned(), 2)]);
    fleet.scheduler.end_refused(&order);
    assert!(fleet.scheduler.take_effects().is_empty());
}

/// The end says nothing of the agent. If it counted as contact, the loss of the worker would be noticed later.
#[test]
fn a_refused_order_is_no_contact_with_the_agent() {
    let mut fleet = fleet_with_one_run();
    fleet.fold(submitted(2, vec![step(1)]));
    assert_eq!(placements(&mut fleet).len(), 1);
    fleet.advance(Duration::from_millis(1_800));
    refuse_order(&mut fleet);
    fleet.advance(Duration::from_millis(200));
    assert!(fleet.suspicions().iter().any(|known| known.suspected));
}

/// A cancelled job gets no other run.
#[rstest]
#[case::before_the_refusal(true)]
#[case::after_it(false)]
fn the_task_of_a_cancelled_job_is_not_bound_again(#[case] cancelled_first: bool) {
    let mut fleet = fleet_with_one_run();
    let cancelled = Record::new(Body::Cancelled {
        job: fleet.issued_orders()[0].task.job,
        queue: String::new(),
        at_ms: 0,
    });
    if cancelled_first {
        fleet.fold(cancelled.clone());
    }
    refuse_order(&mut fleet);
    fleet.fold(cancelled);
    assert_eq!(fleet.scheduler.bound_runs(), 0);
    assert!(placements(&mut fleet).is_empty());
    assert!(
        fleet.newest_orders().is_empty(),
        "nothing is left in the log"
    );
}

/// Refuses the oldest order, which is dropped from the log's stream.
fn refuse_order(fleet: &mut Fleet) {
    let order = fleet.issued_orders().remove(0);
    fleet
        .orders
        .retain(|record| record.body != Some(Body::Order(order.clone())));
    fleet.scheduler.end_refused(&order);
    // Passes the end through the log.
    fleet.advance(Duration::ZERO);
}

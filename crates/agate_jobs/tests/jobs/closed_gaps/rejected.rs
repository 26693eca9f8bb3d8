//! Tasks whose starts an open worker rejects.

use std::collections::BTreeSet;

use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, StepSpec};
use rstest::rstest;

use super::{Closed, LONG_ROUNDS, SHORT_ROUNDS, long_running};
use crate::support::{ended, report, step, submitted, task};

/// A start that a worker rejects ended the wait, so the task came back to the same worker for as long as the others
/// were closed.
#[rstest]
#[case::short(step(1), SHORT_ROUNDS)]
#[case::long_running(long_running(), LONG_ROUNDS)]
fn a_rejected_start_does_not_end_the_wait(#[case] step: StepSpec, #[case] rounds: usize) {
    let mut closed = Closed::new(&["a"]);
    let rejecting = Record::new(Body::Worker(report("r", 1)));
    closed.fleet.fold(rejecting);
    closed.fleet.fold(submitted(1, vec![step]));
    let mut starts = BTreeSet::new();
    for _ in 0..rounds {
        closed.round();
        let orders = closed.fleet.newest_orders().into_iter();
        let orders: Vec<_> = orders.filter(|order| order.task == task(1, 0, 0)).collect();
        for order in orders {
            let worker = order.incarnation.name;
            if worker == "r" && starts.insert((worker.clone(), order.run)) {
                let end = ended(order.task, order.run, EndCause::Refused, &worker);
                closed.fleet.fold(end);
            } else {
                starts.insert((worker, order.run));
            }
        }
    }
    assert!(starts.iter().any(|(worker, _)| worker == "a"), "{starts:?}");
}

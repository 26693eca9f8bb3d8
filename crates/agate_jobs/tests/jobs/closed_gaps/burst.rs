//! How much a pass over starved jobs binds to closed workers.

use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, StepSpec, WorkerReport};
use rstest::rstest;

use super::{Closed, ROUND, SHORT_ROUNDS};
use crate::fleet::Fleet;
use crate::place::best_effort_step;
use crate::support::{ended, report, step, submitted};

/// The load was compared once a pass, so the pass filled all workers that had just failed everything.
#[rstest]
#[case::short(step(1), 8)]
#[case::best_effort(best_effort_step(), 8)]
fn a_pass_leaves_half_of_the_capacity(#[case] step: StepSpec, #[case] cores: usize) {
    let mut closed = Closed::new(&["a", "b"]);
    for job in 1..=40 {
        closed.fleet.fold(submitted(job, vec![step.clone()]));
    }
    for _ in 0..SHORT_ROUNDS {
        let bound = closed.round().len();
        assert!(bound <= cores / 2, "{bound} at once on {cores} cores");
    }
}

/// A worker that fails everything at once took one attempt of each waiting job.
#[test]
fn a_worker_that_fails_everything_fails_few_tasks() {
    let out = |name: &str, unreachable| {
        Record::new(Body::Worker(WorkerReport {
            unreachable,
            ..report(name, 1)
        }))
    };
    let mut fleet = Fleet::new(&["bad", "b", "c"].map(|name| report(name, 1)));
    fleet.fold(out("b", true));
    fleet.fold(out("c", true));
    for job in 1..=100 {
        fleet.fold(submitted(job, vec![step(1)]));
    }
    let mut failed = 0;
    for _ in 0..40 {
        for placed in fleet.place() {
            assert_eq!(placed.worker, "bad");
            failed += 1;
            fleet.fold(ended(placed.task, placed.run, EndCause::Failed, "bad"));
        }
        fleet.now = fleet.now + ROUND;
    }
    assert!(failed <= 12, "{failed} attempts in 4 s");
}

//! Attempts that closed workers use up.

use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, WorkerReport};

use super::ROUND;
use crate::fleet::Fleet;
use crate::support::{ended, report, step, submitted};

/// A worker that fails everything took all attempts but one of each waiting job within seconds.
#[test]
fn a_worker_that_fails_everything_leaves_most_attempts() {
    let mut fleet = Fleet::new(&["bad", "b", "c"].map(|name| report(name, 1)));
    for name in ["b", "c"] {
        fleet.fold(Record::new(Body::Worker(WorkerReport {
            unreachable: true,
            ..report(name, 1)
        })));
    }
    for job in 1..=20 {
        let mut record = submitted(job, vec![step(1)]);
        if let Some(Body::Submitted { policy, .. }) = &mut record.body {
            policy.max_attempts = 4;
        }
        fleet.fold(record);
    }
    for _ in 0..80 {
        for placed in fleet.place() {
            fleet.fold(ended(placed.task, placed.run, EndCause::Failed, "bad"));
        }
        fleet.now = fleet.now + ROUND;
    }
    let failures = fleet
        .table
        .jobs()
        .map(|(_, job)| job.progress[0][0].tasks[0].failures);
    let failures: Vec<u32> = failures.collect();
    let spent = failures.iter().filter(|failures| **failures >= 3).count();
    assert!(spent <= 5, "{failures:?}");
}

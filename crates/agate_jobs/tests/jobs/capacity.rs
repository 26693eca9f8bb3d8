//! Tests of workers whose capacity changes while they run.

use agate_core::Resources;
use agate_jobs::record::Body;
use agate_jobs::{Record, WorkerReport};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{report, step, submitted};

/// Returns a report on worker `a` with `cores` cores, based on a heartbeat.
fn resized(cores: u32, heartbeat: u64) -> WorkerReport {
    WorkerReport {
        capacity: Resources::new(cores * 1_000, 1_000, 0),
        heartbeat,
        ..report("a", 1)
    }
}

fn fold(fleet: &mut Fleet, report: WorkerReport) {
    fleet.fold(Record::new(Body::Worker(report)));
}

#[test]
fn placements_follow_a_capacity_that_shrinks_and_grows() {
    let mut fleet = Fleet::new(&[resized(4, 1)]);
    fleet.fold(submitted(1, vec![step(6)]));
    assert_eq!(fleet.place().len(), 4);
    fold(&mut fleet, resized(2, 2));
    assert!(fleet.place().is_empty(), "more runs than it has room for");
    fold(&mut fleet, resized(5, 3));
    assert_eq!(fleet.place().len(), 1);
}

/// An append that took effect late brought back the capacity from before it shrank.
#[rstest]
#[case::older_heartbeat(1, 2)]
#[case::by_an_older_agent(0, 4)]
fn a_report_that_is_recorded_late_does_not_bring_back_an_earlier_capacity(
    #[case] late_heartbeat: u64,
    #[case] placed: usize,
) {
    let mut fleet = Fleet::new(&[resized(4, 1)]);
    fold(&mut fleet, resized(2, 2));
    fold(&mut fleet, resized(4, late_heartbeat));
    fleet.fold(submitted(1, vec![step(4)]));
    assert_eq!(fleet.place().len(), placed);
}

//! Tests of runs that are bound and that their agents have not started.

use std::time::Duration;

use agate_jobs::plan::{OldestUnstarted, Placement, Unstarted};
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, UnstartedRun, WorkerReport};

use crate::fleet::Fleet;
use crate::support::{ended, report, step, submitted, task};

/// Time between two summaries.
const PASS_PERIOD: Duration = Duration::from_millis(100);

/// Returns the report of an agent that has not started `runs`.
fn reporting(worker: &str, runs: &[Placement]) -> Record {
    let runs = runs.iter().filter(|placed| placed.worker == worker);
    let runs = runs.map(|placed| UnstartedRun {
        task: placed.task,
        run: placed.run,
    });
    Record::new(Body::Worker(WorkerReport {
        not_started: runs.collect(),
        ..report(worker, 1)
    }))
}

/// No log of the leader named runs that were bound and never started.
#[test]
fn unstarted_runs_are_summarized_with_the_oldest_one() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(2, vec![step(1)]));
    let mut placed = fleet.place();
    fleet.now = fleet.now + Duration::from_millis(300);
    fleet.fold(submitted(1, vec![step(2)]));
    placed.extend(fleet.place());
    fleet.now = fleet.now + Duration::from_millis(1_500);
    fleet.fold(reporting("a", &placed[..2]));
    let expected = Unstarted {
        runs: 2,
        oldest: Some(OldestUnstarted {
            task: task(2, 0, 0),
            run: 1,
            worker: "a".to_owned(),
            age: Duration::from_millis(1_800),
        }),
    };
    assert_eq!(fleet.scheduler.take_unstarted(fleet.now), Some(expected));
    assert_eq!(fleet.scheduler.take_unstarted(fleet.now), None);
}

/// A line for each round would fill the log, and a run that starts would be counted for a second.
#[test]
fn a_run_is_named_once_a_second_and_counted_always() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let placed = fleet.place();
    let mut named = Vec::new();
    for round in 0..12 {
        let runs = if round == 6 { &[] } else { placed.as_slice() };
        fleet.fold(reporting("a", runs));
        let found = fleet
            .scheduler
            .take_unstarted(fleet.now)
            .expect("it is due");
        assert_eq!(found.runs, runs.len());
        named.extend(found.oldest.map(|_| round));
        fleet.now = fleet.now + PASS_PERIOD;
    }
    assert_eq!(named, [0, 10]);
}

/// A run that has ended since the report, and the next one of its task, would be named for as long as the agent
/// reports nothing new.
#[test]
fn runs_that_have_ended_are_not_summarized() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let placed = fleet.place();
    fleet.fold(reporting("a", &placed));
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Untraced, "a"));
    assert_eq!(fleet.place()[0].run, 2);
    let none = Unstarted {
        runs: 0,
        oldest: None,
    };
    assert_eq!(fleet.scheduler.take_unstarted(fleet.now), Some(none));
}

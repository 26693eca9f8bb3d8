//! Tests of workers that are closed after failures, or on probation, all at once.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_core::{JobId, Moment};
use agate_jobs::plan::Trust;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, StepSpec, TaskKey, WorkerReport};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::place::best_effort_step;
use crate::support::{cancelled, ended, report, step, submitted, task};

const ROUND: Duration = Duration::from_millis(100);

/// Time after which an agent stops a run that makes no progress.
const STALL_TIME: Duration = Duration::from_millis(1_200);

/// Longest time for which ready work may wait while most of the capacity is free.
const BOUND: Duration = Duration::from_secs(3);

/// Returns workers that are all closed, after runs that ended with `cause`.
fn closed(names: &[&str], cause: EndCause) -> Fleet {
    let reports: Vec<_> = names.iter().map(|name| report(name, 1)).collect();
    let mut fleet = Fleet::new(&reports);
    for job in [101, 102] {
        fleet.fold(submitted(job, vec![step(8)]));
        for placed in fleet.place() {
            fleet.fold(ended(placed.task, placed.run, cause, &placed.worker));
        }
    }
    for job in [101, 102] {
        fleet.fold(cancelled(job));
    }
    assert!(fleet.place().is_empty());
    fleet
}

/// Lets `rounds` rounds pass and returns what they bind, by worker.
fn placed(fleet: &mut Fleet, rounds: usize) -> Vec<(TaskKey, String)> {
    let mut found = Vec::new();
    for _ in 0..rounds {
        let placed = fleet.place().into_iter();
        found.extend(placed.map(|placed| (placed.task, placed.worker)));
        fleet.now = fleet.now + ROUND;
    }
    found
}

/// Jobs waited for up to 18 s at 8 % of the capacity: each stall closed its worker again (kra-pricing,
/// workers-hang-until-the-end).
#[rstest]
#[case::short(step(1))]
#[case::best_effort(best_effort_step())]
fn jobs_run_while_every_worker_stalls_one_run_after_the_other(#[case] step: StepSpec) {
    let mut fleet = closed(&["a", "b"], EndCause::Stalled);
    let jobs: BTreeSet<JobId> = (1..=6).map(JobId).collect();
    for job in &jobs {
        fleet.fold(submitted(job.0, vec![step.clone()]));
    }
    let mut idle_since: BTreeMap<JobId, Moment> =
        jobs.iter().map(|job| (*job, fleet.now)).collect();
    let mut runs: Vec<(Moment, Record)> = Vec::new();
    for _ in 0..100 {
        let now = fleet.now;
        for (_, end) in runs.extract_if(.., |(at, _)| now.since(*at) >= STALL_TIME) {
            if let Some(Body::Ended(end)) = &end.body {
                idle_since.insert(end.task.job, now);
            }
            fleet.fold(end);
        }
        for placed in fleet.place() {
            idle_since.remove(&placed.task.job);
            let end = ended(placed.task, placed.run, EndCause::Stalled, &placed.worker);
            runs.push((now, end));
        }
        let late = idle_since
            .iter()
            .find(|(_, since)| now.since(**since) > BOUND);
        assert_eq!(late, None, "waits at {now:?}");
        fleet.now = now + ROUND;
    }
}

/// Long-running tasks have to be back within 6 s, whatever has closed the workers meanwhile.
#[test]
fn a_long_running_task_starts_while_every_worker_is_closed() {
    let mut fleet = closed(&["a", "b"], EndCause::Stalled);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    fleet.fold(submitted(1, vec![long_running]));
    assert_eq!(placed(&mut fleet, 60).len(), 1);
}

/// Without it, no log tells why a task runs on a worker that has just failed others.
#[test]
fn a_placement_on_a_closed_worker_says_so() {
    let mut fleet = closed(&["a"], EndCause::Stalled);
    fleet.fold(submitted(1, vec![step(1)]));
    assert!(placed(&mut fleet, 2).is_empty());
    fleet.now = fleet.now + Duration::from_secs(2);
    let placed = fleet.place();
    assert_eq!(placed[0].trust, Trust::Quarantine);
    fleet.fold(ended(placed[0].task, placed[0].run, EndCause::Done, "a"));
    fleet.fold(submitted(2, vec![step(1)]));
    fleet.now = fleet.now + Duration::from_secs(1);
    assert_eq!(fleet.place()[0].trust, Trust::Full);
}

/// A task that may fail only once more would be given up by the fault of its worker.
#[test]
fn the_last_attempt_of_a_task_waits_for_an_open_worker() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let first = fleet.place().remove(0);
    fleet.fold(ended(first.task, 1, EndCause::Failed, "a"));
    fleet.fold(submitted(2, vec![step(3)]));
    fleet.place();
    fleet.fold(ended(task(1, 0, 0), 2, EndCause::Stalled, "a"));
    for index in 0..3 {
        fleet.fold(ended(task(2, 0, index), 1, EndCause::Stalled, "a"));
    }
    fleet.fold(cancelled(2));
    assert_eq!(placed(&mut fleet, 25), []);
    assert_eq!(placed(&mut fleet, 5).len(), 1);
}

/// What a closed worker fails could have run elsewhere.
#[test]
fn an_open_worker_comes_before_the_closed_ones() {
    let mut fleet = closed(&["a", "b"], EndCause::Stalled);
    fleet.fold(Record::new(Body::Worker(WorkerReport {
        unreachable: true,
        ..report("c", 1)
    })));
    fleet.fold(submitted(1, vec![step(1)]));
    assert!(placed(&mut fleet, 19).is_empty());
    fleet.fold(Record::new(Body::Worker(report("c", 1))));
    fleet.fold(submitted(2, vec![step(1)]));
    let found = placed(&mut fleet, 22);
    assert!(found.iter().all(|(_, worker)| worker == "c"), "{found:?}");
}

/// A worker that has just rejected a start would reject the next one, too.
#[test]
fn a_starved_job_leaves_a_pause_to_a_worker_that_rejects_starts() {
    let mut fleet = closed(&["a"], EndCause::Stalled);
    fleet.fold(submitted(1, vec![step(1)]));
    let first = placed(&mut fleet, 22);
    assert_eq!(first.len(), 1);
    fleet.fold(ended(first[0].0, 1, EndCause::NoRoom, "a"));
    fleet.now = fleet.now + BOUND;
    fleet.fold(ended(first[0].0, 1, EndCause::NoRoom, "a"));
    assert!(placed(&mut fleet, 4).is_empty());
}

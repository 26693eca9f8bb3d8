//! Attempts that closed workers use up.

use std::time::Duration;

use agate_core::{JobId, Moment};
use agate_jobs::plan::Placement;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, WorkerReport};

use super::ROUND;
use crate::fleet::Fleet;
use crate::starved::large;
use crate::support::{ended, report, step, submitted, task};

/// Time after which an agent stops a run that makes no progress.
const STALL_TIME: Duration = Duration::from_millis(1_200);

/// Longest time for which ready work may wait while most of the capacity is free.
const BOUND: Duration = Duration::from_secs(3);

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

/// Jobs that stall took each probe of workers on probation, so that the last attempt of another one waited for as long
/// as they went on.
#[test]
fn the_last_attempt_of_a_task_runs_between_runs_that_stall() {
    let mut fleet = Fleet::new(&["a", "b", "c"].map(|name| report(name, 1)));
    for job in 1..=4 {
        fleet.fold(submitted(job, vec![step(1)]));
    }
    fleet.fold(submitted(5, vec![step(1)]));
    fleet.fold(ended(task(5, 0, 0), 1, EndCause::Failed, "z"));
    let mut runs: Vec<(Moment, Record)> = Vec::new();
    let mut idle_since = Some(fleet.now);
    let mut longest = Duration::ZERO;
    for _ in 0..300 {
        let now = fleet.now;
        for (_, end) in runs.extract_if(.., |(at, _)| now.since(*at) >= STALL_TIME) {
            if matches!(&end.body, Some(Body::Ended(end)) if end.task.job == JobId(5)) {
                idle_since = Some(now);
            }
            fleet.fold(end);
        }
        for placed in fleet.place() {
            if placed.task.job == JobId(5) {
                idle_since = None;
            }
            let end = ended(placed.task, placed.run, EndCause::Stalled, &placed.worker);
            runs.push((now, end));
        }
        longest = longest.max(idle_since.map_or(Duration::ZERO, |since| now.since(since)));
        fleet.now = now + ROUND;
    }
    assert!(longest <= BOUND, "waited for {longest:?}");
}

/// Workers that fail what they start after a while took the last attempts of one job after another while the first
/// one ran.
#[test]
fn workers_that_fail_late_take_one_last_attempt_at_a_time() {
    let names = ["a", "b"];
    let mut fleet = Fleet::new(&names.map(|name| large(name, 8_000)));
    for job in 1..=40 {
        fleet.fold(submitted(job, vec![step(1)]));
        fleet.fold(ended(task(job, 0, 0), 1, EndCause::Failed, "z"));
    }
    let mut runs: Vec<(Moment, Placement)> = Vec::new();
    for round in 0..80 {
        let now = fleet.now;
        for (_, run) in runs.extract_if(.., |(at, _)| now.since(*at) >= Duration::from_secs(1)) {
            fleet.fold(ended(run.task, run.run, EndCause::Failed, &run.worker));
        }
        runs.extend(fleet.place().into_iter().map(|placed| (now, placed)));
        for name in names {
            let running = runs.iter().filter(|(_, run)| run.worker == name).count();
            assert!(round < 10 || running <= 1, "{running} in round {round}");
        }
        fleet.now = now + ROUND;
    }
}

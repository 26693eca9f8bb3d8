//! State that closes workers or holds jobs back is limited in extent or time.

use agate_core::{Incarnation, JobId, Resources, TaskId};
use agate_place::blame::Trust;
use agate_place::{AdoptedRun, Policy, RunOutcome, Scheduler};

use crate::support::{at, class, job, scheduler, team};

/// Starts one task each of three jobs from `first` on at a worker.
fn start(s: &mut Scheduler, worker: u64, first: u64) -> Vec<TaskId> {
    let start = |id| {
        s.push(at(1), &job(id, 2));
        let task = TaskId {
            job: JobId(id),
            index: 0,
        };
        let run = AdoptedRun {
            task,
            worker: Incarnation::new(worker),
            demand: job(id, 2).declared,
            declared: job(id, 2).declared,
            team: team("kehilla"),
            class: class("rebalance"),
        };
        s.adopt(at(1), &run);
        task
    };
    (first..first + 3).map(start).collect()
}

/// Ends the runs of `tasks` as failed, so that their worker is quarantined unless the limit is reached.
fn fail(s: &mut Scheduler, tasks: &[TaskId]) {
    for &task in tasks {
        s.ended(at(1), task, RunOutcome::Failed, Resources::ZERO);
    }
    for task in tasks {
        s.cancel(task.job);
    }
}

fn quarantine(s: &mut Scheduler, worker: u64) {
    let tasks = start(s, worker, 1_000 + worker * 10);
    fail(s, &tasks);
}

fn is_quarantined(s: &Scheduler, worker: u64) -> bool {
    let key = s.workers().key(Incarnation::new(worker)).unwrap();
    matches!(s.failure_tracker().trust(key), Trust::Quarantined { .. })
}

/// Runs that failed after their worker was removed counted as a quarantined worker for good.
#[test]
fn failures_on_a_removed_worker_take_no_place_in_quarantine() {
    let mut s = scheduler(Policy::default(), 3);
    let tasks = start(&mut s, 0, 100);
    s.remove(at(1), Incarnation::new(0));
    fail(&mut s, &tasks);
    quarantine(&mut s, 1);
    assert!(is_quarantined(&s, 1));
}

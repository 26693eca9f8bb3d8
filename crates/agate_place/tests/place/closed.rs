//! State that closes workers or holds jobs back is limited in extent or time.

use agate_core::{Incarnation, JobId, Resources, TaskId};
use agate_place::blame::Trust;
use agate_place::{AdoptedRun, Placement, Policy, RunOutcome, Scheduler};

use crate::support::{at, class, job, join, rng, scheduler, team};

/// Returns the tasks placed in each second from `from` to `to`. None of them ends.
fn place(s: &mut Scheduler, from: u64, to: u64) -> Vec<Placement> {
    let mut rng = rng(7);
    let mut placed = Vec::new();
    for now in (from..to).map(at) {
        placed.extend(std::iter::from_fn(|| s.next(now, &mut rng)));
        while s.next_wake(now) == Some(now) {
            placed.extend(std::iter::from_fn(|| s.next(now, &mut rng)));
        }
    }
    placed
}

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

/// The workers in quarantine were all that was left once the others had gone, and ready tasks waited for
/// their next probe, for up to 4 minutes.
#[test]
fn at_most_half_of_the_workers_stay_in_quarantine_when_the_others_leave() {
    let mut s = scheduler(Policy::default(), 8);
    for worker in 0..4 {
        quarantine(&mut s, worker);
        assert!(is_quarantined(&s, worker));
    }
    for worker in 4..8 {
        s.remove(at(2), Incarnation::new(worker));
    }
    let count = (0..4).filter(|worker| is_quarantined(&s, *worker)).count();
    assert_eq!(count, 2);
    s.push(at(2), &job(1, 2));
    assert_eq!(place(&mut s, 2, 6).len(), 2);
}

/// A probe that ran for long kept all other tasks from its worker until it ended.
#[test]
fn a_worker_in_quarantine_takes_more_tasks_while_its_probe_runs() {
    let mut s = scheduler(Policy::default(), 2);
    quarantine(&mut s, 0);
    s.mark_leaving(Incarnation::new(1));
    s.push(at(2), &job(1, 10));
    assert_eq!(place(&mut s, 2, 31).len(), 0, "in quarantine");
    assert_eq!(place(&mut s, 31, 60).len(), 1, "one probe");
    let placed = place(&mut s, 60, 200).len();
    assert!(placed >= 4, "{placed} tasks placed");
}

/// The trial of a worker on probation lasted for as long as its run if the worker was in quarantine when the
/// trial was due.
#[test]
fn a_trial_ends_though_its_worker_went_into_quarantine_meanwhile() {
    let mut s = scheduler(Policy::default(), 2);
    let tasks = start(&mut s, 0, 100);
    s.mark_leaving(Incarnation::new(1));
    for &task in &tasks[..2] {
        s.ended(at(1), task, RunOutcome::Failed, Resources::ZERO);
    }
    s.push(at(2), &job(1, 10));
    assert_eq!(place(&mut s, 2, 3).len(), 1, "the trial");
    s.ended(at(3), tasks[2], RunOutcome::Failed, Resources::ZERO);
    assert!(is_quarantined(&s, 0));
    for task in tasks {
        s.cancel(task.job);
    }
    assert_eq!(place(&mut s, 3, 33).len(), 0, "in quarantine");
    assert!(place(&mut s, 33, 100).len() > 1);
}

/// A task that had failed once waited for the first success of its job, which may be hours away, as all runs
/// of the job counted against the limit of jobs that have never succeeded.
#[test]
fn a_failed_task_runs_again_while_the_others_of_its_job_run() {
    let mut s = scheduler(Policy::default(), 4);
    s.push(at(1), &job(1, 10));
    let running = place(&mut s, 1, 2);
    assert_eq!(running.len(), 10);
    let failed = running[0].task;
    s.ended(at(3), failed, RunOutcome::Failed, Resources::ZERO);
    assert_eq!(place(&mut s, 3, 30).len(), 0, "it may fail everywhere");
    assert_eq!(place(&mut s, 30, 60).len(), 1);
}

/// Eight jobs that fit no worker hid all jobs behind them in their team and class, until one of them ran.
#[test]
fn jobs_behind_many_blocked_ones_run_on_idle_workers() {
    let mut s = scheduler(Policy::default(), 2);
    join(&mut s, 2, Resources::new(16_000, 61_440, 1));
    let accelerated = |id| {
        let mut spec = job(id, 1);
        spec.declared = Resources::new(1_000, 1_024, 1);
        spec
    };
    for id in 1..=20 {
        s.push(at(1), &accelerated(id));
    }
    s.push(at(2), &job(50, 4));
    let placed = place(&mut s, 2, 12);
    let behind = placed.iter().filter(|placed| placed.task.job == JobId(50));
    assert_eq!(behind.count(), 4);
}

//! Ready tasks are placed while there is room for them.

use agate_core::{Incarnation, JobId, Moment, Resources};
use agate_place::{Placement, Policy, RunOutcome, Scheduler, UrgentReading};
use rstest::rstest;
use std::time::Duration;

use crate::support::{at, class, job, join, rng, scheduler};

fn place_all(s: &mut Scheduler, now: Moment) -> Vec<Placement> {
    let mut rng = rng(7);
    std::iter::from_fn(|| s.next(now, &mut rng)).collect()
}

/// A job with a reservation waited for the runs on that one worker, however long they took, beside
/// another worker that had become free.
#[rstest]
#[case::on_the_first(0)]
#[case::on_the_second(1)]
fn a_job_with_a_reservation_uses_the_worker_that_becomes_free(#[case] free: u64) {
    let mut s = scheduler(Policy::default(), 2);
    s.push(at(0), &job(1, 100));
    let running = place_all(&mut s, at(1));
    s.cancel(JobId(1));
    let mut large = job(2, 1);
    large.class = class("export");
    large.declared = Resources::new(14_000, 40_000, 0);
    s.push(at(1), &large);
    for secs in 2..400 {
        assert!(place_all(&mut s, at(secs)).is_empty());
    }
    for run in running.iter().filter(|run| run.worker.get() == free) {
        s.ended(at(400), run.task, RunOutcome::Finished, Resources::ZERO);
    }
    let placed = place_all(&mut s, at(401));
    let workers: Vec<u64> = placed.iter().map(|placed| placed.worker.get()).collect();
    assert_eq!(workers, [free]);
}

/// A worker stayed closed for good after the last reading of its urgent work, if that showed a slowdown or
/// the effect of a step was not known yet.
#[rstest]
#[case::slowed(1)]
#[case::after_a_step(30)]
fn a_worker_without_urgent_work_takes_tasks_again(#[case] readings: u64) {
    let mut s = scheduler(Policy::default(), 1);
    s.push(at(0), &job(1, 1));
    let running = place_all(&mut s, at(1));
    for secs in 10..10 + readings {
        let reading = UrgentReading {
            worker: Incarnation::new(0),
            class: class("seat-check"),
            age: Duration::from_secs(1),
            slowdown_percent: 300,
            load_percent: 40,
        };
        s.observe_urgent(at(secs), &reading);
        s.steps(at(secs));
    }
    s.ended(
        at(41),
        running[0].task,
        RunOutcome::Finished,
        Resources::ZERO,
    );
    s.push(at(41), &job(2, 1));
    assert!(place_all(&mut s, at(41)).is_empty(), "under pressure");
    let mut placed = 0;
    for secs in 42..142 {
        s.steps(at(secs));
        placed += place_all(&mut s, at(secs)).len();
    }
    assert_eq!(placed, 1);
}

/// One long run on each worker on probation kept all other tasks waiting beside room until it ended.
#[test]
fn a_worker_on_probation_takes_more_tasks_while_its_trial_runs() {
    let mut s = scheduler(Policy::default(), 1);
    s.push(at(0), &job(1, 1));
    let failed = place_all(&mut s, at(1));
    s.ended(at(2), failed[0].task, RunOutcome::Failed, Resources::ZERO);
    s.push(at(2), &job(2, 10));
    let mut placed = 0;
    for secs in 2..4 {
        placed += place_all(&mut s, at(secs)).len();
    }
    assert_eq!(placed, 1, "one at once");
    for secs in 4..200 {
        placed += place_all(&mut s, at(secs)).len();
    }
    assert!(placed > 5, "{placed} tasks placed");
}

/// A task was kept from the worker on which it had failed though no other one is large enough, so that it
/// waited for good.
#[test]
fn a_task_returns_to_the_only_worker_that_is_large_enough() {
    let mut s = scheduler(Policy::default(), 1);
    for id in 10..12 {
        join(&mut s, id, Resources::new(2_000, 8_000, 0));
    }
    let mut large = job(1, 1);
    large.declared = Resources::new(500, 8_192, 0);
    s.push(at(0), &large);
    let failed = place_all(&mut s, at(1));
    s.ended(at(2), failed[0].task, RunOutcome::Failed, Resources::ZERO);
    let mut placed = 0;
    for secs in 2..10 {
        placed += place_all(&mut s, at(secs)).len();
    }
    assert_eq!(placed, 1);
}

//! Ready tasks are placed while there is room for them.

use agate_core::{JobId, Moment, Resources};
use agate_place::{Placement, Policy, RunOutcome, Scheduler};
use rstest::rstest;

use crate::support::{at, class, job, rng, scheduler};

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

//! Failing workers and failing jobs are told apart.

use std::collections::BTreeSet;

use agate_core::{Incarnation, JobId, Moment, Resources};
use agate_place::blame::Trust;
use agate_place::{Disposition, GiveUpReason, GivenUp, Placement, Policy, RunOutcome, Scheduler};
use rand::Rng;
use rand::rngs::SmallRng;

use crate::support::{at, class, job, rng, scheduler, team};

const USED: Resources = Resources::new(900, 900, 0);

/// Runs a scheduler with workers on which the placements selected by `fails` fail. A run fails
/// after a second and succeeds after about a minute.
struct Simulation<F> {
    scheduler: Scheduler,
    rng: SmallRng,
    running: Vec<(Moment, Placement, RunOutcome)>,
    fails: F,
    failures: Vec<Placement>,
    finished: u32,
    given_up: Vec<GivenUp>,
}

impl<F: Fn(&Placement) -> bool> Simulation<F> {
    fn new(scheduler: Scheduler, fails: F) -> Self {
        Self {
            scheduler,
            rng: rng(3),
            running: Vec::new(),
            fails,
            failures: Vec::new(),
            finished: 0,
            given_up: Vec::new(),
        }
    }

    fn run(&mut self, from: u64, to: u64) {
        for secs in from..to {
            let now = at(secs);
            self.end_due(now);
            while let Some(placement) = self.scheduler.next(now, &mut self.rng) {
                self.scheduler.started(now, placement.task);
                let entry = if (self.fails)(&placement) {
                    (at(secs + 1), placement, RunOutcome::Failed)
                } else {
                    let length = self.rng.random_range(30..90);
                    (at(secs + length), placement, RunOutcome::Finished)
                };
                self.running.push(entry);
            }
            self.given_up.extend(self.scheduler.take_given_up());
        }
    }

    fn end_due(&mut self, now: Moment) {
        let running = std::mem::take(&mut self.running);
        let (due, left): (Vec<_>, Vec<_>) = running.into_iter().partition(|(end, ..)| *end <= now);
        self.running = left;
        for (_, placement, end) in due {
            let ended = self.scheduler.ended(now, placement.task, end, USED);
            self.finished += u32::from(ended == Disposition::Done);
            if end == RunOutcome::Failed {
                self.failures.push(placement);
            }
        }
    }

    fn trust(&self, worker: u64) -> Trust {
        let key = self.scheduler.workers().key(Incarnation::new(worker));
        self.scheduler.failure_tracker().trust(key.unwrap())
    }
}

fn is_quarantined(trust: Trust) -> bool {
    matches!(trust, Trust::Quarantined { .. })
}

fn push_jobs(scheduler: &mut Scheduler, ids: std::ops::Range<u64>, tasks: u32) {
    for id in ids {
        let mut spec = job(id, tasks);
        spec.class = class(["rebalance", "rerating"][usize::try_from(id % 2).unwrap()]);
        spec.team = team(["kehilla", "kattegatt"][usize::try_from(id / 2 % 2).unwrap()]);
        scheduler.push(at(0), &spec);
    }
}

#[test]
fn a_failing_worker_is_quarantined_after_few_failures_and_no_job_is_given_up() {
    let mut s = scheduler(Policy::default(), 10);
    push_jobs(&mut s, 0..8, 200);
    let mut simulation = Simulation::new(s, |p| p.worker == Incarnation::new(4));
    simulation.run(0, 600);
    assert!(is_quarantined(simulation.trust(4)));
    // The first wave of 14 runs fills the worker before any failure is known. Then come runs on
    // probation up to the limit, and one probe each after 30 s, 60 s, 120 s and 240 s.
    let after_first = simulation.failures.len().saturating_sub(14);
    assert!(
        after_first <= 8,
        "{after_first} failures after the first wave"
    );
    assert_eq!(simulation.given_up, []);
    for other in (0..10).filter(|id| *id != 4) {
        assert_eq!(
            simulation.trust(other),
            Trust::Full,
            "worker {other} lost trust"
        );
    }
    simulation.run(600, 4_000);
    assert_eq!(simulation.finished, 8 * 200);
}

#[test]
fn a_recovered_worker_leaves_quarantine() {
    let mut s = scheduler(Policy::default(), 4);
    push_jobs(&mut s, 0..8, 400);
    let is_broken = std::cell::Cell::new(true);
    let mut simulation = Simulation::new(s, |p| is_broken.get() && p.worker == Incarnation::new(2));
    simulation.run(0, 120);
    assert!(is_quarantined(simulation.trust(2)));
    is_broken.set(false);
    simulation.run(120, 600);
    assert_eq!(simulation.trust(2), Trust::Full);
}

#[test]
fn a_poison_job_is_given_up_and_no_worker_loses_trust() {
    let mut s = scheduler(Policy::default(), 10);
    push_jobs(&mut s, 0..8, 100);
    let mut poison = job(99, 500);
    poison.team = team("poison");
    s.push(at(0), &poison);
    let mut simulation = Simulation::new(s, |p| p.task.job == JobId(99));
    simulation.run(0, 200);
    let [given_up] = simulation.given_up[..] else {
        panic!("given up: {:?}", simulation.given_up);
    };
    assert_eq!((given_up.job, given_up.task), (JobId(99), None));
    assert!(matches!(given_up.reason, GiveUpReason::FailsEverywhere { workers } if workers >= 5));
    for worker in 0..10 {
        assert_eq!(
            simulation.trust(worker),
            Trust::Full,
            "worker {worker} lost trust"
        );
    }
    assert!(
        simulation.failures.len() < 100,
        "{}",
        simulation.failures.len()
    );
}

#[test]
fn a_poison_job_and_a_failing_worker_are_told_apart() {
    let mut s = scheduler(Policy::default(), 10);
    push_jobs(&mut s, 0..8, 300);
    let mut poison = job(99, 500);
    poison.team = team("poison");
    s.push(at(0), &poison);
    let mut simulation = Simulation::new(s, |p| {
        p.task.job == JobId(99) || p.worker == Incarnation::new(7)
    });
    simulation.run(0, 400);
    assert!(is_quarantined(simulation.trust(7)));
    let jobs: BTreeSet<JobId> = simulation.given_up.iter().map(|g| g.job).collect();
    assert_eq!(jobs, BTreeSet::from([JobId(99)]));
    for other in (0..10).filter(|id| *id != 7) {
        assert_eq!(
            simulation.trust(other),
            Trust::Full,
            "worker {other} lost trust"
        );
    }
}

#[test]
fn many_poison_jobs_at_once_quarantine_no_worker() {
    let mut s = scheduler(Policy::default(), 6);
    push_jobs(&mut s, 0..8, 50);
    let mut simulation = Simulation::new(s, |_| true);
    for minute in 0..20 {
        simulation.run(minute * 60, minute * 60 + 60);
        for worker in 0..6 {
            assert!(
                !is_quarantined(simulation.trust(worker)),
                "worker {worker} is quarantined"
            );
        }
    }
    assert_eq!(simulation.given_up.len(), 8);
    // All 50 tasks of a job may start before the first one fails. After that, two run at a time, in
    // ten rounds.
    let max_failures = 8 * (50 + 2 * 10);
    assert!(
        simulation.failures.len() <= max_failures,
        "{}",
        simulation.failures.len()
    );
}

/// Each job ends, and its record is dropped, soon after it failed on the bad worker.
#[test]
fn a_failing_worker_is_quarantined_by_jobs_of_one_task() {
    let mut s = scheduler(Policy::default(), 4);
    push_jobs(&mut s, 0..400, 1);
    let mut simulation = Simulation::new(s, |p| p.worker == Incarnation::new(1));
    simulation.run(0, 300);
    assert!(is_quarantined(simulation.trust(1)));
    simulation.run(300, 2_000);
    assert_eq!(simulation.given_up, []);
    assert_eq!(simulation.finished, 400);
}

#[test]
fn many_failing_workers_at_once_cause_no_job_to_be_given_up() {
    let mut s = scheduler(Policy::default(), 10);
    push_jobs(&mut s, 0..8, 40);
    let mut simulation = Simulation::new(s, |p| p.worker.get() < 3);
    simulation.run(0, 2_000);
    assert_eq!(simulation.given_up, []);
    assert_eq!(simulation.finished, 8 * 40);
}

/// Only some jobs fail on one worker, for example because of a missing library.
#[test]
fn a_task_is_not_retried_on_a_worker_where_it_failed() {
    let mut s = scheduler(Policy::default(), 4);
    push_jobs(&mut s, 0..4, 40);
    let mut simulation = Simulation::new(s, |p| p.task.job.0 % 2 == 0 && p.worker.get() == 1);
    simulation.run(0, 900);
    let pairs: BTreeSet<_> = simulation
        .failures
        .iter()
        .map(|p| (p.task, p.worker))
        .collect();
    assert!(!pairs.is_empty());
    assert_eq!(pairs.len(), simulation.failures.len());
    assert_eq!(simulation.finished, 160);
}

#[test]
fn one_failing_task_is_given_up_and_its_job_continues() {
    let mut s = scheduler(Policy::default(), 8);
    s.push(at(0), &job(1, 50));
    let mut simulation = Simulation::new(s, |p| p.task.index == 7);
    simulation.run(0, 400);
    let [given_up] = simulation.given_up[..] else {
        panic!("given up: {:?}", simulation.given_up);
    };
    assert_eq!(given_up.task.map(|task| task.index), Some(7));
    assert_eq!(simulation.finished, 49);
}

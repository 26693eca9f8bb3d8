//! What failures tell, one piece of evidence at a time.

use agate_core::{Incarnation, Resources};
use agate_place::blame::{FailureTracker, Trust};
use agate_place::queue::{JobKey, Queue};
use agate_place::workers::{WorkerKey, Workers};
use agate_preset::policy::Placement;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::{at, job};

const KNOWN: usize = 10;

fn workers() -> Vec<WorkerKey> {
    let mut workers = Workers::new(0);
    let join = |id| workers.join(at(0), Incarnation::new(id), Resources::new(1_000, 1_000, 0));
    (0..KNOWN as u64).map(join).collect()
}

fn jobs() -> Vec<JobKey> {
    let mut queue = Queue::new(BTreeMap::new(), Duration::from_mins(5));
    (0..40).map(|id| queue.push(at(0), &job(id, 1))).collect()
}

fn is_quarantined(blame: &FailureTracker, worker: WorkerKey) -> bool {
    matches!(blame.trust(worker), Trust::Quarantined { .. })
}

/// Lets every worker succeed once, so that it counts as sound.
fn proven(workers: &[WorkerKey], job: JobKey, policy: &Placement) -> FailureTracker {
    let mut blame = FailureTracker::new();
    for &worker in workers {
        blame.record_success(worker, job, policy);
    }
    blame
}

#[test]
fn failures_on_quarantined_workers_do_not_speak_against_a_job() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut blame = proven(&workers, jobs[0], &policy);
    for &worker in &workers[..5] {
        blame.record_failure(at(1), worker, jobs[1], KNOWN, &policy);
    }
    assert!(blame.should_give_up_job(jobs[1], KNOWN, &policy));
    for &worker in &workers[..5] {
        for _ in 0..3 {
            blame.record_failure(at(1), worker, jobs[0], KNOWN, &policy);
        }
        assert!(is_quarantined(&blame, worker));
    }
    assert!(!blame.should_give_up_job(jobs[1], KNOWN, &policy));
}

#[test]
fn at_most_half_of_the_workers_are_quarantined() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut blame = proven(&workers, jobs[0], &policy);
    for &worker in &workers {
        for _ in 0..4 {
            blame.record_failure(at(1), worker, jobs[0], KNOWN, &policy);
        }
    }
    let count = workers
        .iter()
        .filter(|w| is_quarantined(&blame, **w))
        .count();
    assert_eq!(count, 5);
}

#[test]
fn a_failure_counts_after_its_job_succeeded_elsewhere_and_is_over() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut blame = FailureTracker::new();
    for &job in &jobs[..3] {
        blame.record_failure(at(1), workers[0], job, KNOWN, &policy);
        blame.record_success(workers[1], job, &policy);
        blame.forget_job(job);
    }
    assert!(is_quarantined(&blame, workers[0]));
}

#[test]
fn failures_of_a_job_that_was_given_up_are_explained() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut blame = FailureTracker::new();
    for &job in &jobs[..6] {
        blame.record_failure(at(1), workers[0], job, KNOWN, &policy);
        blame.forget_job(job);
    }
    assert_eq!(blame.trust(workers[0]), Trust::Full);
}

#[test]
fn a_failed_probe_doubles_the_wait_and_a_good_one_ends_it() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut blame = proven(&workers, jobs[0], &policy);
    let mut now = at(1);
    let mut waits = Vec::new();
    for _ in 0..6 {
        for _ in 0..3 {
            blame.record_failure(now, workers[0], jobs[0], KNOWN, &policy);
        }
        let Trust::Quarantined { probe_at } = blame.trust(workers[0]) else {
            panic!("the worker is not quarantined");
        };
        waits.push(probe_at.since(now).as_secs());
        now = probe_at;
    }
    assert_eq!(waits, [30, 60, 120, 240, 240, 240]);
    blame.record_success(workers[0], jobs[0], &policy);
    assert!(!is_quarantined(&blame, workers[0]));
    blame.record_failure(now, workers[0], jobs[0], KNOWN, &policy);
    assert!(is_quarantined(&blame, workers[0]));
}

//! Unit tests of the failure tracker.

use agate_core::{Incarnation, Resources};
use agate_place::blame::{FailureTracker, Trust};
use agate_place::queue::{JobKey, Queue};
use agate_place::workers::{WorkerKey, Workers};
use agate_preset::policy::Placement;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::{at, job};

const WORKER_COUNT: usize = 10;

fn workers() -> Vec<WorkerKey> {
    let mut workers = Workers::new(0);
    let join = |id| workers.join(at(0), Incarnation::new(id), Resources::new(1_000, 1_000, 0));
    (0..WORKER_COUNT as u64).map(join).collect()
}

fn jobs() -> Vec<JobKey> {
    let mut queue = Queue::new(BTreeMap::new(), Duration::from_mins(5));
    (0..40).map(|id| queue.push(at(0), &job(id, 1))).collect()
}

fn is_quarantined(tracker: &FailureTracker, worker: WorkerKey) -> bool {
    matches!(tracker.trust(worker), Trust::Quarantined { .. })
}

/// Returns a tracker in which every worker has succeeded once and so counts as healthy.
fn with_healthy_workers(workers: &[WorkerKey], job: JobKey, policy: &Placement) -> FailureTracker {
    let mut tracker = FailureTracker::new();
    for &worker in workers {
        tracker.record_success(worker, job, policy);
    }
    tracker
}

#[test]
fn failures_on_quarantined_workers_do_not_count_against_a_job() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut tracker = with_healthy_workers(&workers, jobs[0], &policy);
    for &worker in &workers[..5] {
        tracker.record_failure(at(1), worker, jobs[1], WORKER_COUNT, &policy);
    }
    assert!(tracker.should_give_up_job(jobs[1], WORKER_COUNT, &policy));
    for &worker in &workers[..5] {
        for _ in 0..3 {
            tracker.record_failure(at(1), worker, jobs[0], WORKER_COUNT, &policy);
        }
        assert!(is_quarantined(&tracker, worker));
    }
    assert!(!tracker.should_give_up_job(jobs[1], WORKER_COUNT, &policy));
}

#[test]
fn at_most_half_of_the_workers_are_quarantined() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut tracker = with_healthy_workers(&workers, jobs[0], &policy);
    for &worker in &workers {
        for _ in 0..4 {
            tracker.record_failure(at(1), worker, jobs[0], WORKER_COUNT, &policy);
        }
    }
    let count = workers
        .iter()
        .filter(|w| is_quarantined(&tracker, **w))
        .count();
    assert_eq!(count, 5);
}

#[test]
fn a_failure_counts_after_its_job_succeeded_elsewhere_and_ended() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut tracker = FailureTracker::new();
    for &job in &jobs[..3] {
        tracker.record_failure(at(1), workers[0], job, WORKER_COUNT, &policy);
        tracker.record_success(workers[1], job, &policy);
        tracker.forget_job(job);
    }
    assert!(is_quarantined(&tracker, workers[0]));
}

#[test]
fn failures_of_a_given_up_job_do_not_count_against_the_worker() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut tracker = FailureTracker::new();
    for &job in &jobs[..6] {
        tracker.record_failure(at(1), workers[0], job, WORKER_COUNT, &policy);
        tracker.forget_job(job);
    }
    assert_eq!(tracker.trust(workers[0]), Trust::Full);
}

#[test]
fn a_failed_probe_doubles_the_wait_and_a_successful_one_ends_the_quarantine() {
    let (workers, jobs, policy) = (workers(), jobs(), Placement::default());
    let mut tracker = with_healthy_workers(&workers, jobs[0], &policy);
    let mut now = at(1);
    let mut waits = Vec::new();
    for _ in 0..6 {
        for _ in 0..3 {
            tracker.record_failure(now, workers[0], jobs[0], WORKER_COUNT, &policy);
        }
        let Trust::Quarantined { probe_at } = tracker.trust(workers[0]) else {
            panic!("the worker is not quarantined");
        };
        waits.push(probe_at.since(now).as_secs());
        now = probe_at;
    }
    assert_eq!(waits, [30, 60, 120, 240, 240, 240]);
    tracker.record_success(workers[0], jobs[0], &policy);
    assert!(!is_quarantined(&tracker, workers[0]));
    tracker.record_failure(now, workers[0], jobs[0], WORKER_COUNT, &policy);
    assert!(is_quarantined(&tracker, workers[0]));
}

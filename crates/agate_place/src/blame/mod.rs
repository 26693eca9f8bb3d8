//! Attributes failures to workers or jobs.
//!
//! A failure counts against the worker unless the job is a suspect: it has never succeeded and has
//! also failed on another worker. It counts against the job unless the worker is quarantined. Both
//! are re-evaluated from the recorded failures, so later evidence can clear either.

mod job;
mod worker;

use agate_core::Moment;
use agate_preset::policy::Placement;
use slotmap::SparseSecondaryMap;

pub use worker::Trust;

use crate::amount;
use crate::hash::KeyHashBuilder;
use crate::queue::JobKey;
use crate::workers::WorkerKey;
use job::JobRecord;
use worker::{Failure, WorkerRecord};

/// Factor on the preset's attempts after which a failing task, or a job that has never succeeded,
/// is given up even if too few of its workers are known to be healthy.
pub const MAX_ATTEMPT_FACTOR: u32 = 2;

/// Maximum share of the workers in quarantine, in percent. If more fail, the cause is more likely
/// the work or a shared dependency.
const MAX_QUARANTINED_PERCENT: usize = 50;

/// Maximum backoff factor on the probe interval.
const MAX_PROBE_FACTOR: u32 = 8;

/// Maximum number of concurrent runs of a job that has failed and never succeeded, unless they run for
/// long.
const MAX_UNPROVEN_RUNS: u64 = 2;

/// Failure records of workers and jobs.
#[derive(Debug, Default)]
pub struct FailureTracker {
    workers: SparseSecondaryMap<WorkerKey, WorkerRecord, KeyHashBuilder>,
    jobs: SparseSecondaryMap<JobKey, JobRecord, KeyHashBuilder>,
    /// Number of quarantined workers.
    quarantined: usize,
}

impl FailureTracker {
    /// Creates a tracker without records.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a run finished on a known worker.
    pub fn record_success(&mut self, worker: WorkerKey, job: JobKey, policy: &Placement) {
        self.record_job_success(job);
        if let Some(record) = get_or_insert(&mut self.workers, worker) {
            self.quarantined -= usize::from(record.probe_at().is_some());
            record.record_success(policy);
        }
    }

    /// Records that a run of a job finished on a worker that may have been removed. The first success of a
    /// job clears it of its earlier failures.
    pub fn record_job_success(&mut self, job: JobKey) {
        let Some(record) = get_or_insert(&mut self.jobs, job) else {
            return;
        };
        if record.has_succeeded() {
            return;
        }
        record.record_success();
        for worker in record.failed_on() {
            if let Some(record) = self.workers.get_mut(*worker) {
                record.mark_job_succeeded(job);
            }
        }
    }

    /// Records that a run failed by itself on a known worker. Quarantines the worker after too many
    /// unexplained failures. `worker_count` is the number of known workers.
    pub fn record_failure(
        &mut self,
        now: Moment,
        worker: WorkerKey,
        job: JobKey,
        worker_count: usize,
        policy: &Placement,
    ) {
        self.add_failure(now, worker, job);
        let job_succeeded = self.has_succeeded(job);
        if let Some(record) = get_or_insert(&mut self.workers, worker) {
            record.record_failure(Failure { job, job_succeeded });
        }
        let may_grow = (self.quarantined + 1) * 100 <= worker_count * MAX_QUARANTINED_PERCENT;
        let is_bad = self.unexplained_failures(worker) >= policy.quarantine_failures;
        if is_bad && (may_grow || self.is_quarantined(worker)) {
            self.quarantine(now, worker, policy);
        }
        self.lift_explained(job, policy);
    }

    /// Records that a run failed by itself on a worker that may have been removed. A removed worker gets no
    /// record: nothing would forget it again, so its quarantine would count for good.
    pub fn record_job_failure(
        &mut self,
        now: Moment,
        worker: WorkerKey,
        job: JobKey,
        policy: &Placement,
    ) {
        self.add_failure(now, worker, job);
        self.lift_explained(job, policy);
    }

    fn add_failure(&mut self, now: Moment, worker: WorkerKey, job: JobKey) {
        if let Some(record) = get_or_insert(&mut self.jobs, job) {
            record.record_failure(now, worker);
        }
    }

    /// Ends the quarantines that the failures of a job have explained.
    fn lift_explained(&mut self, job: JobKey, policy: &Placement) {
        for worker in self.failed_on(job).to_vec() {
            self.lift_if_explained(worker, policy);
        }
    }

    /// Ends the quarantine of a worker whose failures have since been explained.
    fn lift_if_explained(&mut self, worker: WorkerKey, policy: &Placement) {
        if !self.is_quarantined(worker)
            || self.unexplained_failures(worker) >= policy.quarantine_failures
        {
            return;
        }
        self.end_quarantine(worker);
    }

    /// Ends the quarantine of a quarantined worker.
    fn end_quarantine(&mut self, worker: WorkerKey) {
        if let Some(record) = self.workers.get_mut(worker) {
            record.end_quarantine();
            self.quarantined -= 1;
        }
    }

    /// Forgets a worker.
    pub fn forget_worker(&mut self, worker: WorkerKey) {
        let record = self.workers.remove(worker);
        let was_quarantined = record.is_some_and(|r| r.probe_at().is_some());
        self.quarantined -= usize::from(was_quarantined);
    }

    /// Ends quarantines, those with the earliest probe first, until no more than the maximum share of
    /// `worker_count` workers is left. Returns the released workers, which are on probation if they
    /// are not cleared of their failures.
    pub fn release_excess(&mut self, worker_count: usize) -> Vec<WorkerKey> {
        let max_quarantined = worker_count * MAX_QUARANTINED_PERCENT / 100;
        let excess = self.quarantined.saturating_sub(max_quarantined);
        if excess == 0 {
            return Vec::new();
        }
        let probes = self.workers.iter();
        let probes = probes.filter_map(|(key, record)| Some((record.probe_at()?, key)));
        let mut probes: Vec<_> = probes.collect();
        probes.sort_unstable();
        let released: Vec<_> = probes
            .into_iter()
            .take(excess)
            .map(|(_, key)| key)
            .collect();
        for &key in &released {
            self.end_quarantine(key);
        }
        released
    }

    /// Forgets a job that has ended.
    pub fn forget_job(&mut self, job: JobKey) {
        self.jobs.remove(job);
    }

    /// Returns how far a worker is trusted.
    pub fn trust(&self, worker: WorkerKey) -> Trust {
        let Some(record) = self.workers.get(worker) else {
            return Trust::Full;
        };
        if let Some(probe_at) = record.probe_at() {
            return Trust::Quarantined { probe_at };
        }
        let unexplained = self.unexplained_failures(worker);
        if unexplained >= 2 || (unexplained == 1 && !record.is_proven()) {
            Trust::Probation
        } else {
            Trust::Full
        }
    }

    /// Returns the workers on which a job failed.
    pub fn failed_on(&self, job: JobKey) -> &[WorkerKey] {
        self.jobs.get(job).map_or(&[], JobRecord::failed_on)
    }

    /// Returns when a job that has failed and never succeeded may run again; `None` for other jobs.
    pub fn backoff_until(&self, job: JobKey) -> Option<Moment> {
        let record = self.jobs.get(job)?;
        let is_unproven = !record.has_succeeded() && record.failure_rounds() > 0;
        is_unproven.then(|| record.not_before())
    }

    /// Records that a task of a job starts.
    pub fn record_start(&mut self, now: Moment, job: JobKey) {
        if let Some(record) = self.jobs.get_mut(job) {
            record.record_start(now);
        }
    }

    /// Whether a job with `run_count` runs may start another one. Without a success, a job that has
    /// failed has few at a time, but a further one after each probe interval: its runs may take hours
    /// to succeed.
    pub fn may_start(&self, now: Moment, job: JobKey, run_count: u64, policy: &Placement) -> bool {
        let Some(until) = self.backoff_until(job) else {
            return true;
        };
        let last_start = self
            .jobs
            .get(job)
            .map_or(Moment::ZERO, JobRecord::last_start);
        let probe_due = last_start + amount::millis(policy.probe_ms);
        now >= until && (run_count < MAX_UNPROVEN_RUNS || now >= probe_due)
    }

    /// Whether failures on these workers implicate the work itself: on enough distinct healthy
    /// workers, or on all of the `worker_count` workers outside quarantine if those are fewer.
    pub fn is_work_at_fault(
        &self,
        failed: &[WorkerKey],
        worker_count: usize,
        policy: &Placement,
    ) -> bool {
        let healthy = failed.iter().filter(|worker| self.is_healthy(**worker));
        let others = worker_count.saturating_sub(self.quarantined).max(1);
        let enough = (policy.attempts as usize).min(others);
        healthy.count() >= enough
    }

    /// Whether to give up a whole job: it has never succeeded and failed on enough healthy workers,
    /// or so often that the workers can't be the cause.
    pub fn should_give_up_job(&self, job: JobKey, worker_count: usize, policy: &Placement) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        let (failure_rounds, attempts) = (record.failure_rounds(), policy.attempts);
        let has_used_attempts =
            failure_rounds >= attempts || record.failed_on().len() >= attempts as usize;
        let is_work_at_fault =
            has_used_attempts && self.is_work_at_fault(record.failed_on(), worker_count, policy);
        !record.has_succeeded()
            && (is_work_at_fault || failure_rounds >= attempts * MAX_ATTEMPT_FACTOR)
    }

    /// Returns the number of failures in a row that no suspect job explains.
    fn unexplained_failures(&self, worker: WorkerKey) -> u32 {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        let streak = record.streak();
        let proven_count = streak
            .iter()
            .filter(|failure| failure.job_succeeded)
            .count();
        let mut unproven_jobs: Vec<JobKey> = Vec::new();
        for failure in streak.iter().filter(|failure| !failure.job_succeeded) {
            if !unproven_jobs.contains(&failure.job) && !self.is_suspect(failure.job, worker) {
                unproven_jobs.push(failure.job);
            }
        }
        amount::saturating_u32(proven_count + unproven_jobs.len())
    }

    fn has_succeeded(&self, job: JobKey) -> bool {
        self.jobs.get(job).is_some_and(JobRecord::has_succeeded)
    }

    /// Whether a job is a suspect from the point of view of `worker`. A job that was given up still
    /// counts as one.
    fn is_suspect(&self, job: JobKey, worker: WorkerKey) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return true;
        };
        let is_other = |other: &WorkerKey| *other != worker && !self.is_quarantined(*other);
        !record.has_succeeded() && record.failed_on().iter().any(is_other)
    }

    /// Whether other work succeeds on a worker.
    fn is_healthy(&self, worker: WorkerKey) -> bool {
        let record = self.workers.get(worker);
        record.is_some_and(|r| r.probe_at().is_none() && r.is_proven())
    }

    fn is_quarantined(&self, worker: WorkerKey) -> bool {
        let record = self.workers.get(worker);
        record.is_some_and(|r| r.probe_at().is_some())
    }

    fn quarantine(&mut self, now: Moment, worker: WorkerKey, policy: &Placement) {
        if let Some(record) = self.workers.get_mut(worker) {
            self.quarantined += usize::from(record.probe_at().is_none());
            record.quarantine(now, amount::millis(policy.probe_ms), MAX_PROBE_FACTOR);
        }
    }
}

/// Returns the record of `key`, or `None` if a newer key has replaced it.
fn get_or_insert<K: slotmap::Key, V: Default>(
    map: &mut SparseSecondaryMap<K, V, KeyHashBuilder>,
    key: K,
) -> Option<&mut V> {
    map.entry(key)
        .map(slotmap::sparse_secondary::Entry::or_default)
}

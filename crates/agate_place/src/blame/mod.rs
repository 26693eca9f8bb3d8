//! Whether a failure is the worker's or the job's.
//!
//! The failures of jobs and workers are crossed. A failure speaks against the worker unless the job
//! is a suspect itself: it has never succeeded and has failed on another worker too. It
//! speaks against the job unless the worker is quarantined. Both are judged anew from what is
//! remembered, so evidence that comes later clears the one or the other.

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

/// Factor on the preset's attempts after which a job that never succeeded is given up, even if too
/// few of its workers are known to be sound.
pub const MAX_ATTEMPT_FACTOR: u32 = 2;

/// Largest share of the workers that may be in quarantine at once, in percent. When more than that
/// fail, it is rather the work, or something that all of them need.
const QUARANTINED_PERCENT: usize = 50;

/// Largest factor on the time between two probes.
const MAX_PROBE_FACTOR: u32 = 8;

/// What is remembered of failures.
#[derive(Debug, Default)]
pub struct FailureTracker {
    workers: SparseSecondaryMap<WorkerKey, WorkerRecord, KeyHashBuilder>,
    jobs: SparseSecondaryMap<JobKey, JobRecord, KeyHashBuilder>,
    /// Number of workers in quarantine.
    quarantined: usize,
}

impl FailureTracker {
    /// Starts without knowledge.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a run was finished.
    pub fn record_success(&mut self, worker: WorkerKey, job: JobKey, policy: &Placement) {
        self.prove(job);
        if let Some(record) = entry(&mut self.workers, worker) {
            self.quarantined -= usize::from(record.probe_at().is_some());
            record.record_success(policy);
        }
    }

    /// Notes that a job has succeeded, and that its earlier failures were not its fault.
    fn prove(&mut self, job: JobKey) {
        let Some(record) = entry(&mut self.jobs, job) else {
            return;
        };
        if record.has_succeeded() {
            return;
        }
        record.record_success();
        for worker in record.failed_on() {
            if let Some(record) = self.workers.get_mut(*worker) {
                record.prove(job);
            }
        }
    }

    /// Notes that a run failed by itself, and quarantines its worker if that is called for; `known` is
    /// the number of workers.
    pub fn record_failure(
        &mut self,
        now: Moment,
        worker: WorkerKey,
        job: JobKey,
        known: usize,
        policy: &Placement,
    ) {
        if let Some(record) = entry(&mut self.jobs, job) {
            record.record_failure(now, worker);
        }
        let proven = self.has_succeeded(job);
        if let Some(record) = entry(&mut self.workers, worker) {
            record.record_failure(Failure { job, proven });
        }
        let may_grow = (self.quarantined + 1) * 100 <= known * QUARANTINED_PERCENT;
        let is_bad = self.unexplained(worker) >= policy.quarantine_failures;
        if is_bad && (may_grow || self.is_quarantined(worker)) {
            self.quarantine(now, worker, policy);
        }
        for other in self.failed_on(job).to_vec() {
            self.acquit(other, policy);
        }
    }

    /// Ends the quarantine of a worker whose failures are explained by now.
    fn acquit(&mut self, worker: WorkerKey, policy: &Placement) {
        if !self.is_quarantined(worker) || self.unexplained(worker) >= policy.quarantine_failures {
            return;
        }
        if let Some(record) = self.workers.get_mut(worker) {
            record.lift();
            self.quarantined -= 1;
        }
    }

    /// Forgets a worker.
    pub fn forget_worker(&mut self, worker: WorkerKey) {
        let record = self.workers.remove(worker);
        let was_quarantined = record.is_some_and(|r| r.probe_at().is_some());
        self.quarantined -= usize::from(was_quarantined);
    }

    /// Forgets a job that is over.
    pub fn forget_job(&mut self, job: JobKey) {
        self.jobs.remove(job);
    }

    /// How far a worker is trusted.
    pub fn trust(&self, worker: WorkerKey) -> Trust {
        let Some(record) = self.workers.get(worker) else {
            return Trust::Full;
        };
        if let Some(probe_at) = record.probe_at() {
            return Trust::Quarantined { probe_at };
        }
        let doubts = self.unexplained(worker);
        if doubts >= 2 || (doubts == 1 && !record.is_proven()) {
            Trust::Probation
        } else {
            Trust::Full
        }
    }

    /// Workers on which a job failed.
    pub fn failed_on(&self, job: JobKey) -> &[WorkerKey] {
        self.jobs.get(job).map_or(&[], JobRecord::failed_on)
    }

    /// Since when a job that has failed and never succeeded may run again; `None` for other jobs.
    pub fn backoff_until(&self, job: JobKey) -> Option<Moment> {
        let record = self.jobs.get(job)?;
        let is_doubtful = !record.has_succeeded() && record.rounds() > 0;
        is_doubtful.then(|| record.not_before())
    }

    /// Whether failures on these workers speak against the work itself: on enough distinct workers
    /// that are sound, or on all of the `known` ones if they are fewer.
    pub fn is_work_at_fault(&self, failed: &[WorkerKey], known: usize, policy: &Placement) -> bool {
        let sound = failed.iter().filter(|worker| self.is_sound(**worker));
        let others = known.saturating_sub(self.quarantined).max(1);
        let enough = (policy.attempts as usize).min(others);
        sound.count() >= enough
    }

    /// Whether a whole job is to be given up: it never succeeded and failed on enough sound workers, or
    /// so often that no worker can be to blame.
    pub fn should_give_up_job(&self, job: JobKey, known: usize, policy: &Placement) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        let (rounds, attempts) = (record.rounds(), policy.attempts);
        let has_used_attempts = rounds >= attempts || record.failed_on().len() >= attempts as usize;
        let is_work_at_fault =
            has_used_attempts && self.is_work_at_fault(record.failed_on(), known, policy);
        !record.has_succeeded() && (is_work_at_fault || rounds >= attempts * MAX_ATTEMPT_FACTOR)
    }

    /// Failures in a row that no suspect job explains.
    fn unexplained(&self, worker: WorkerKey) -> u32 {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        let streak = record.streak();
        let proven = streak.iter().filter(|failure| failure.proven).count();
        let mut open: Vec<JobKey> = Vec::new();
        for failure in streak.iter().filter(|failure| !failure.proven) {
            if !open.contains(&failure.job) && !self.is_suspect(failure.job, worker) {
                open.push(failure.job);
            }
        }
        amount::count(proven + open.len())
    }

    fn has_succeeded(&self, job: JobKey) -> bool {
        self.jobs.get(job).is_some_and(JobRecord::has_succeeded)
    }

    /// Whether a job is a suspect as seen from `worker`; so is one that was given up since.
    fn is_suspect(&self, job: JobKey, worker: WorkerKey) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return true;
        };
        let is_other = |other: &WorkerKey| *other != worker && !self.is_quarantined(*other);
        !record.has_succeeded() && record.failed_on().iter().any(is_other)
    }

    /// Whether other work succeeds on a worker.
    fn is_sound(&self, worker: WorkerKey) -> bool {
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

/// The record of `key`, or `None` if the key is older than the one on record.
fn entry<K: slotmap::Key, V: Default>(
    map: &mut SparseSecondaryMap<K, V, KeyHashBuilder>,
    key: K,
) -> Option<&mut V> {
    map.entry(key)
        .map(slotmap::sparse_secondary::Entry::or_default)
}

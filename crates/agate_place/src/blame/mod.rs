//! Whether a failure is the worker's or the job's.
//!
//! The failures of jobs and workers are crossed. A failure speaks against the worker unless the job
//! is a suspect itself: it has never succeeded and has failed on another worker that is sound. It
//! speaks against the job unless the worker is quarantined. Both are judged anew from what is
//! remembered, so evidence that comes later clears the one or the other.

mod job;
mod worker;

use agate_core::Moment;
use agate_preset::policy::Placement;
use slotmap::SecondaryMap;

pub use worker::Trust;

use crate::amount;
use crate::queue::JobKey;
use crate::workers::WorkerKey;
use job::JobRecord;
use worker::WorkerRecord;

/// Largest factor on the time between two probes.
const MAX_PROBE_FACTOR: u32 = 8;

/// What is remembered of failures.
#[derive(Debug, Default)]
pub struct Blame {
    workers: SecondaryMap<WorkerKey, WorkerRecord>,
    jobs: SecondaryMap<JobKey, JobRecord>,
    /// Number of workers in quarantine.
    quarantined: usize,
}

impl Blame {
    /// Starts without knowledge.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a run was finished.
    pub fn succeed(&mut self, worker: WorkerKey, job: JobKey, policy: &Placement) {
        if let Some(record) = entry(&mut self.jobs, job) {
            record.succeed();
        }
        if let Some(record) = entry(&mut self.workers, worker) {
            self.quarantined -= usize::from(record.probe_at().is_some());
            record.succeed(policy);
        }
    }

    /// Notes that a run failed by itself, and quarantines its worker if that is called for.
    pub fn fail(&mut self, now: Moment, worker: WorkerKey, job: JobKey, policy: &Placement) {
        if let Some(record) = entry(&mut self.jobs, job) {
            record.fail(worker);
        }
        if let Some(record) = entry(&mut self.workers, worker) {
            record.fail(job);
        }
        if self.unexplained(worker) >= policy.quarantine_failures {
            self.quarantine(now, worker, policy);
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
            Trust::Trial
        } else {
            Trust::Full
        }
    }

    /// Workers on which a job failed.
    pub fn failed_on(&self, job: JobKey) -> &[WorkerKey] {
        self.jobs.get(job).map_or(&[], JobRecord::failed_on)
    }

    /// Whether a job has failed and never succeeded.
    pub fn is_doubtful(&self, job: JobKey) -> bool {
        let record = self.jobs.get(job);
        record.is_some_and(|r| !r.has_succeeded() && !r.failed_on().is_empty())
    }

    /// Whether failures on these workers speak against the work itself: on enough distinct workers
    /// that are sound, or on all of the `known` ones if they are fewer.
    pub fn is_hopeless(&self, failed: &[WorkerKey], known: usize, policy: &Placement) -> bool {
        let sound = failed
            .iter()
            .filter(|worker| !self.is_quarantined(**worker));
        let others = known.saturating_sub(self.quarantined).max(1);
        let enough = (policy.attempts as usize).min(others);
        sound.count() >= enough
    }

    /// Whether a whole job is to be given up: it never succeeded and failed on enough sound workers.
    pub fn is_hopeless_job(&self, job: JobKey, known: usize, policy: &Placement) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        !record.has_succeeded()
            && record.failures() >= policy.attempts
            && self.is_hopeless(record.failed_on(), known, policy)
    }

    /// Failures in a row that no suspect job explains.
    fn unexplained(&self, worker: WorkerKey) -> u32 {
        let Some(record) = self.workers.get(worker) else {
            return 0;
        };
        let mut counted: Vec<JobKey> = Vec::new();
        for &job in record.streak() {
            let is_repeat = counted.contains(&job) && !self.has_succeeded(job);
            if !is_repeat && !self.is_suspect(job, worker) {
                counted.push(job);
            }
        }
        amount::count(counted.len())
    }

    fn has_succeeded(&self, job: JobKey) -> bool {
        self.jobs.get(job).is_some_and(JobRecord::has_succeeded)
    }

    /// Whether a job is a suspect as seen from `worker`.
    fn is_suspect(&self, job: JobKey, worker: WorkerKey) -> bool {
        let Some(record) = self.jobs.get(job) else {
            return false;
        };
        let is_sound = |other: &WorkerKey| *other != worker && self.is_sound(*other, job);
        !record.has_succeeded() && record.failed_on().iter().any(is_sound)
    }

    /// Whether nothing but `job` speaks against a worker.
    fn is_sound(&self, worker: WorkerKey, job: JobKey) -> bool {
        let Some(record) = self.workers.get(worker) else {
            return true;
        };
        record.probe_at().is_none() && record.streak().iter().all(|other| *other == job)
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
fn entry<K: slotmap::Key, V: Default>(map: &mut SecondaryMap<K, V>, key: K) -> Option<&mut V> {
    map.entry(key).map(slotmap::secondary::Entry::or_default)
}

//! Failure record of one worker.

use std::time::Duration;

use agate_core::Moment;
use agate_preset::policy::Placement;

use crate::queue::JobKey;

/// Maximum length of a recorded failure streak.
const MAX_STREAK: usize = 64;

/// How far a worker is trusted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Trust {
    /// The worker takes any work.
    Full,
    /// The worker takes one new run at a time until one succeeds.
    Probation,
    /// The worker takes one run as a probe from `probe_at` on.
    Quarantined {
        /// When the next probe is due.
        probe_at: Moment,
    },
}

/// One failed run.
#[derive(Debug, Clone, Copy)]
pub(super) struct Failure {
    pub(super) job: JobKey,
    /// Whether the job has succeeded elsewhere. Kept here because the job's record may be gone.
    pub(super) job_succeeded: bool,
}

#[derive(Debug, Default)]
pub(super) struct WorkerRecord {
    /// Failures since the last success.
    streak: Vec<Failure>,
    proven: bool,
    quarantine: Option<Quarantine>,
}

#[derive(Debug, Clone, Copy)]
struct Quarantine {
    probe_at: Moment,
    factor: u32,
}

impl WorkerRecord {
    /// Records a success. It ends a quarantine, but the next unexplained failure restores it.
    pub(super) fn record_success(&mut self, policy: &Placement) {
        if self.quarantine.take().is_some() {
            self.streak
                .truncate(policy.quarantine_failures as usize - 1);
        } else {
            self.streak.clear();
        }
        self.proven = true;
    }

    pub(super) fn record_failure(&mut self, failure: Failure) {
        if self.streak.len() == MAX_STREAK {
            self.streak.remove(0);
        }
        self.streak.push(failure);
    }

    /// Starts a quarantine, or extends it after a failed probe. Failures before `probe_at` come
    /// from runs that were already in progress and are not probes.
    pub(super) fn quarantine(&mut self, now: Moment, wait: Duration, max_factor: u32) {
        if self.probe_at().is_some_and(|at| now < at) {
            return;
        }
        let factor = self
            .quarantine
            .map_or(1, |q| (q.factor * 2).min(max_factor));
        self.proven = false;
        self.quarantine = Some(Quarantine {
            probe_at: now + wait * factor,
            factor,
        });
    }

    /// Ends a quarantine that later evidence refutes, or that too few other workers are left for.
    pub(super) fn end_quarantine(&mut self) {
        self.quarantine = None;
    }

    pub(super) fn probe_at(&self) -> Option<Moment> {
        self.quarantine.map(|q| q.probe_at)
    }

    pub(super) fn is_proven(&self) -> bool {
        self.proven
    }

    /// Records that a job that failed here has succeeded elsewhere.
    pub(super) fn mark_job_succeeded(&mut self, job: JobKey) {
        for failure in self.streak.iter_mut().filter(|f| f.job == job) {
            failure.job_succeeded = true;
        }
    }

    pub(super) fn streak(&self) -> &[Failure] {
        &self.streak
    }
}

//! What is remembered of one job.

use std::time::Duration;

use agate_core::Moment;

use crate::workers::WorkerKey;

/// Wait of a job that has never succeeded after its first failure; it doubles with each further one.
const DOUBT: Duration = Duration::from_secs(1);

/// Most doublings of that wait.
const MAX_DOUBLINGS: u32 = 6;

/// Most workers remembered for one job.
const MAX_WORKERS: usize = 64;

#[derive(Debug, Default)]
pub(super) struct JobRecord {
    succeeded: bool,
    /// Failures, those of runs that were under way together counted once.
    rounds: u32,
    failed_on: Vec<WorkerKey>,
    /// When the job may run again if it has never succeeded.
    not_before: Moment,
}

impl JobRecord {
    pub(super) fn record_success(&mut self) {
        self.succeeded = true;
    }

    pub(super) fn record_failure(&mut self, now: Moment, worker: WorkerKey) {
        if now >= self.not_before {
            self.not_before = now + DOUBT * 2_u32.pow(self.rounds.min(MAX_DOUBLINGS));
            self.rounds = self.rounds.saturating_add(1);
        }
        if self.failed_on.len() < MAX_WORKERS && !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
    }

    pub(super) fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    pub(super) fn rounds(&self) -> u32 {
        self.rounds
    }

    pub(super) fn not_before(&self) -> Moment {
        self.not_before
    }

    pub(super) fn failed_on(&self) -> &[WorkerKey] {
        &self.failed_on
    }
}

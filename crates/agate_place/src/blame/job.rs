//! Failure record of one job.

use std::time::Duration;

use agate_core::Moment;

use crate::workers::WorkerKey;

/// Backoff after the first failure of a job that has never succeeded; it doubles with each further
/// one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 6;

/// Maximum number of workers remembered per job.
const MAX_WORKERS: usize = 64;

#[derive(Debug, Default)]
pub(super) struct JobRecord {
    succeeded: bool,
    /// Number of failures. Failures during one backoff count once.
    failure_rounds: u32,
    failed_on: Vec<WorkerKey>,
    /// End of the backoff of a job that has never succeeded.
    not_before: Moment,
    /// Time of the first failure, or of the last start after it.
    last_start: Moment,
}

impl JobRecord {
    pub(super) fn record_success(&mut self) {
        self.succeeded = true;
    }

    pub(super) fn record_failure(&mut self, now: Moment, worker: WorkerKey) {
        if self.failure_rounds == 0 {
            self.last_start = now;
        }
        if now >= self.not_before {
            self.not_before =
                now + INITIAL_BACKOFF * 2_u32.pow(self.failure_rounds.min(MAX_DOUBLINGS));
            self.failure_rounds = self.failure_rounds.saturating_add(1);
        }
        if self.failed_on.len() < MAX_WORKERS && !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
    }

    pub(super) fn record_start(&mut self, now: Moment) {
        self.last_start = now;
    }

    pub(super) fn last_start(&self) -> Moment {
        self.last_start
    }

    pub(super) fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    pub(super) fn failure_rounds(&self) -> u32 {
        self.failure_rounds
    }

    pub(super) fn not_before(&self) -> Moment {
        self.not_before
    }

    pub(super) fn failed_on(&self) -> &[WorkerKey] {
        &self.failed_on
    }
}

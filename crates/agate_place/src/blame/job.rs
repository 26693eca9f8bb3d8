//! What is remembered of one job.

use crate::workers::WorkerKey;

/// Most workers remembered for one job.
const MAX_WORKERS: usize = 64;

#[derive(Debug, Default)]
pub(super) struct JobRecord {
    succeeded: bool,
    failures: u32,
    failed_on: Vec<WorkerKey>,
}

impl JobRecord {
    pub(super) fn succeed(&mut self) {
        self.succeeded = true;
    }

    pub(super) fn fail(&mut self, worker: WorkerKey) {
        self.failures = self.failures.saturating_add(1);
        if self.failed_on.len() < MAX_WORKERS && !self.failed_on.contains(&worker) {
            self.failed_on.push(worker);
        }
    }

    pub(super) fn has_succeeded(&self) -> bool {
        self.succeeded
    }

    pub(super) fn failures(&self) -> u32 {
        self.failures
    }

    pub(super) fn failed_on(&self) -> &[WorkerKey] {
        &self.failed_on
    }
}

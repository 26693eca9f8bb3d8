//! Cancellations of jobs that are not known.

use std::collections::{BTreeSet, VecDeque};

use agate_core::JobId;

/// A bounded set of jobs that were cancelled before their submission was in the log. The oldest job is
/// evicted first.
#[derive(Debug, Clone)]
pub(crate) struct EarlyCancels {
    limit: usize,
    order: VecDeque<JobId>,
    jobs: BTreeSet<JobId>,
}

impl EarlyCancels {
    pub(crate) const fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            jobs: BTreeSet::new(),
        }
    }

    /// Adds a job.
    pub(crate) fn insert(&mut self, job: JobId) {
        if !self.jobs.insert(job) {
            return;
        }
        self.order.push_back(job);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    pub(crate) fn contains(&self, job: JobId) -> bool {
        self.jobs.contains(&job)
    }

    /// Returns the jobs in the order in which they were cancelled.
    pub(crate) fn iter(&self) -> impl Iterator<Item = JobId> {
        self.order.iter().copied()
    }
}

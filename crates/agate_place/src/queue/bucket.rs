//! A bucket holds the jobs of one team and class.

use std::collections::BTreeSet;

use agate_core::Moment;

use super::job::JobKey;

/// Number of blocked jobs at which a bucket stops offering the jobs behind them. The blocked jobs
/// are older, and each eventually gets a reservation.
const MAX_BLOCKED_JOBS: u32 = 8;

/// Jobs of one team and class that have ready tasks, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    jobs: BTreeSet<(Moment, u64, JobKey)>,
    /// When a task was last taken from the bucket.
    last_served: Moment,
    /// Number of jobs blocked for lack of capacity.
    blocked: u32,
    /// The rank under which its team currently lists the bucket.
    pub(crate) listed_rank: Option<Moment>,
}

impl Bucket {
    pub(crate) fn insert(&mut self, queued_at: Moment, sequence: u64, job: JobKey) {
        self.jobs.insert((queued_at, sequence, job));
    }

    pub(crate) fn remove(&mut self, queued_at: Moment, sequence: u64, job: JobKey) {
        self.jobs.remove(&(queued_at, sequence, job));
    }

    /// Returns the oldest job.
    pub(crate) fn head(&self) -> Option<JobKey> {
        self.jobs.first().map(|&(_, _, job)| job)
    }

    /// Records that a task was taken.
    pub(crate) fn mark_served(&mut self, now: Moment) {
        self.last_served = now;
    }

    pub(crate) fn block(&mut self) {
        self.blocked += 1;
    }

    pub(crate) fn unblock(&mut self) {
        self.blocked -= 1;
    }

    /// Returns the start of the bucket's wait: the arrival of its oldest job or the last service,
    /// whichever is later. Counting from the last service keeps an old backlog from starving new
    /// jobs.
    pub(crate) fn waiting_since(&self) -> Option<Moment> {
        if self.blocked >= MAX_BLOCKED_JOBS {
            return None;
        }
        let &(queued_at, _, _) = self.jobs.first()?;
        Some(queued_at.max(self.last_served))
    }
}

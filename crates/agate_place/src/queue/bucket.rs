//! A bucket holds the jobs of one team and class.

use std::collections::BTreeSet;

use agate_core::Moment;

use super::job::JobKey;

/// Number of blocked jobs at which a bucket first stops offering the jobs behind them. The blocked jobs
/// are older, and each eventually gets a reservation.
const MAX_BLOCKED_JOBS: u32 = 8;

/// Maximum number of doublings of that number. It doubles each time as many jobs are blocked again, since
/// the jobs behind them may fit where these never do. The cost of retries limits it.
const MAX_DOUBLINGS: u32 = 5;

/// Jobs of one team and class that have ready tasks, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    jobs: BTreeSet<(Moment, u64, JobKey)>,
    /// When a task was last taken from the bucket.
    last_served: Moment,
    /// Number of jobs blocked for lack of capacity.
    blocked: u32,
    /// Number of doublings of the maximum number of blocked jobs.
    doublings: u32,
    /// Whether the present maximum has been reached.
    was_full: bool,
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
        if !self.is_full() {
            return;
        }
        if self.was_full && self.doublings < MAX_DOUBLINGS {
            self.doublings += 1;
            self.was_full = false;
        } else {
            self.was_full = true;
        }
    }

    pub(crate) fn unblock(&mut self) {
        self.blocked -= 1;
        if self.blocked == 0 && self.jobs.is_empty() {
            self.doublings = 0;
            self.was_full = false;
        }
    }

    /// Whether so many jobs are blocked that the jobs behind them wait, too.
    fn is_full(&self) -> bool {
        self.blocked >= MAX_BLOCKED_JOBS << self.doublings
    }

    /// Returns the start of the bucket's wait: the arrival of its oldest job or the last service,
    /// whichever is later. Counting from the last service keeps an old backlog from starving new
    /// jobs.
    pub(crate) fn waiting_since(&self) -> Option<Moment> {
        if self.is_full() {
            return None;
        }
        let &(queued_at, _, _) = self.jobs.first()?;
        Some(queued_at.max(self.last_served))
    }
}

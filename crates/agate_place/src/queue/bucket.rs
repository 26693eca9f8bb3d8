//! The jobs of one team and class.

use std::collections::BTreeSet;

use agate_core::Moment;

use super::job::JobKey;

/// Jobs of one bucket that may wait for room at once before the jobs behind them wait too. They are
/// older, and each gets room reserved in the end.
const LOOKAHEAD: u32 = 8;

/// The jobs of one team and class that have ready tasks, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Bucket {
    jobs: BTreeSet<(Moment, u64, JobKey)>,
    /// When a task of the bucket was last taken.
    served: Moment,
    /// Jobs that were put aside for want of room.
    blocked: u32,
    /// The rank under which its team lists the bucket.
    pub(crate) listed: Option<Moment>,
}

impl Bucket {
    pub(crate) fn insert(&mut self, since: Moment, sequence: u64, job: JobKey) {
        self.jobs.insert((since, sequence, job));
    }

    pub(crate) fn remove(&mut self, since: Moment, sequence: u64, job: JobKey) {
        self.jobs.remove(&(since, sequence, job));
    }

    /// The oldest job.
    pub(crate) fn head(&self) -> Option<JobKey> {
        self.jobs.first().map(|&(_, _, job)| job)
    }

    /// Notes that a task was taken.
    pub(crate) fn serve(&mut self, now: Moment) {
        self.served = now;
    }

    pub(crate) fn block(&mut self) {
        self.blocked += 1;
    }

    pub(crate) fn unblock(&mut self) {
        self.blocked -= 1;
    }

    /// Since when the bucket waits: the later of its head's arrival and its last service. Counting
    /// from the last service keeps an old backlog from shutting newcomers out.
    pub(crate) fn waits_since(&self) -> Option<Moment> {
        if self.blocked >= LOOKAHEAD {
            return None;
        }
        let &(since, _, _) = self.jobs.first()?;
        Some(since.max(self.served))
    }
}

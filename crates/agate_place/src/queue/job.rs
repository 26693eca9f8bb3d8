//! A queued job.

use std::ops::Range;

use agate_core::{JobId, Moment, Resources};
use slotmap::new_key_type;

use super::range_set::RangeSet;
use super::withdrawals::TagKey;
use crate::{ClassKey, TeamKey};

new_key_type! {
    /// Key of a job in the queue.
    pub struct JobKey;
}

/// Where a job is in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum JobState {
    /// Not listed anywhere, because no task is ready.
    Idle,
    /// Listed in its bucket.
    Queued,
    /// Listed under a withdrawn tag, or waiting to return after the tag was resumed.
    Parked,
    /// Held by the caller, because no worker has enough capacity.
    Blocked,
    /// Held by the caller for another reason.
    Deferred,
}

/// A job with waiting or running tasks.
#[derive(Debug)]
pub(crate) struct QueuedJob {
    pub(crate) id: JobId,
    pub(crate) team: TeamKey,
    pub(crate) class: ClassKey,
    pub(crate) tags: Vec<TagKey>,
    pub(crate) declared: Resources,
    /// When the job was pushed.
    pub(crate) queued_at: Moment,
    /// Breaks ties between jobs pushed at the same time.
    pub(crate) sequence: u64,
    /// Tasks that can be taken now.
    pub(crate) ready: RangeSet,
    /// Tasks that become ready at a later time.
    pub(crate) delayed: RangeSet,
    /// Tasks that were taken and neither requeued nor finished.
    pub(crate) taken: RangeSet,
    pub(crate) state: JobState,
}

impl QueuedJob {
    /// Whether every task of `tasks` is waiting or taken. The cost depends on the number of ranges,
    /// not of tasks.
    pub(crate) fn contains_all(&self, tasks: &Range<u32>) -> bool {
        let sets = [&self.ready, &self.delayed, &self.taken];
        let mut index = tasks.start;
        while index < tasks.end {
            let Some(end) = sets.iter().find_map(|set| set.end_at(index)) else {
                return false;
            };
            index = end;
        }
        true
    }

    /// Whether the job has neither waiting nor taken tasks.
    pub(crate) fn is_done(&self) -> bool {
        self.ready.is_empty() && self.delayed.is_empty() && self.taken.is_empty()
    }
}

//! A job as the queue holds it.

use std::ops::Range;

use agate_core::{JobId, Moment, Resources};
use slotmap::new_key_type;

use super::range_set::RangeSet;
use super::withdrawals::TagKey;
use crate::{ClassKey, TeamKey};

new_key_type! {
    /// A job in the queue.
    pub struct JobKey;
}

/// Where a job is kept.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Standing {
    /// Nowhere: none of its tasks is ready.
    Idle,
    /// In its bucket.
    Queued,
    /// In the list of a withdrawn tag, or on its way back from there.
    Parked,
    /// With the caller, which found no room for it.
    Blocked,
    /// With the caller, for another reason.
    Deferred,
}

/// A job with tasks that wait or run.
#[derive(Debug)]
pub(crate) struct QueuedJob {
    pub(crate) id: JobId,
    pub(crate) team: TeamKey,
    pub(crate) class: ClassKey,
    pub(crate) tags: Vec<TagKey>,
    pub(crate) declared: Resources,
    /// When it was pushed.
    pub(crate) since: Moment,
    /// Tells jobs of one moment apart.
    pub(crate) sequence: u64,
    /// Tasks that are ready.
    pub(crate) ready: RangeSet,
    /// Tasks that become ready at a set time.
    pub(crate) delayed: RangeSet,
    /// Tasks that were taken and have neither come back nor ended.
    pub(crate) taken: RangeSet,
    pub(crate) standing: Standing,
}

impl QueuedJob {
    /// Whether every task of `tasks` waits here or was taken. Takes a step per range, not per task.
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

    /// Whether nothing of the job is left.
    pub(crate) fn is_over(&self) -> bool {
        self.ready.is_empty() && self.delayed.is_empty() && self.taken.is_empty()
    }
}

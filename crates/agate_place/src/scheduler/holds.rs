//! How long a job that doesn't fit holds others back.
//!
//! A job that needs more than is ever free at once only starts if others are held back for as long as runs take, which
//! isn't known in advance. They are held back for longer and longer times, and pass for as long after each.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use super::Scheduler;
use crate::TeamKey;
use crate::queue::JobKey;

/// Maximum number of doublings of a hold.
const MAX_DOUBLINGS: u32 = 16;

/// What waits for a job that doesn't fit.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(super) enum Held {
    /// A worker with a reservation.
    Worker,
    /// The other jobs of a team that may not borrow.
    Team(TeamKey),
}

/// The jobs from whose wait the holds are counted, which is the longest known one. Each job by itself would start a hold
/// as that of another one ends, and a job with many tasks begins a new wait with each.
#[derive(Debug, Default)]
pub(super) struct Holds(HashMap<Held, (JobKey, Moment)>);

impl Scheduler {
    /// Returns until when others are held back, or `None` while they pass. `job` doesn't fit at present.
    pub(super) fn hold_until(&mut self, now: Moment, held: Held, job: JobKey) -> Option<Moment> {
        let own = self.waiting_since.get(job).copied().unwrap_or(now);
        self.waiting_since.insert(job, own);
        let counted = self.holds.0.get(&held).copied();
        let counted = counted.filter(|(key, since)| {
            let is_waiting = self.waiting_since.get(*key) == Some(since);
            is_waiting && !self.queue.is_withdrawn(*key) && *since <= own
        });
        let (_, since) = *self
            .holds
            .0
            .entry(held)
            .insert_entry(counted.unwrap_or((job, own)))
            .get();
        let left = hold_left(now.since(since), self.policy.ageing())?;
        Some(now + left)
    }
}

/// Returns what is left of a hold after a wait, or `None` if none is in progress. The first hold begins after `ageing`
/// and lasts as long; each one is followed by a pause of its length, and the next one is twice as long.
fn hold_left(waited: Duration, ageing: Duration) -> Option<Duration> {
    let mut begin = ageing;
    let mut length = ageing;
    for _ in 0..MAX_DOUBLINGS {
        if waited < begin {
            return None;
        }
        if waited < begin + length {
            return Some((begin + length).saturating_sub(waited));
        }
        begin += 2 * length;
        length *= 2;
    }
    None
}

//! Queue of scheduled member checks.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use agate_core::Moment;

use crate::MemberKey;

/// Scheduled checks of members, earliest first. A member may be queued several times; only the
/// entry that equals its `next_check` is valid.
#[derive(Debug, Default)]
pub(crate) struct CheckQueue(BinaryHeap<Reverse<(Moment, MemberKey)>>);

impl CheckQueue {
    pub(crate) fn push(&mut self, at: Moment, key: MemberKey) {
        self.0.push(Reverse((at, key)));
    }

    /// Removes and returns the next check that is due at `now`.
    pub(crate) fn pop(&mut self, now: Moment) -> Option<(Moment, MemberKey)> {
        let Reverse((at, _)) = self.0.peek()?;
        if *at > now {
            return None;
        }
        self.0.pop().map(|Reverse(check)| check)
    }
}

//! Which member is to be looked at next.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use agate_core::Moment;

use crate::MemberKey;

/// A queue of looks at members. A member may stand in it several times; only the entry that equals
/// the member's own `due` counts.
#[derive(Debug, Default)]
pub(crate) struct CheckQueue(BinaryHeap<Reverse<(Moment, MemberKey)>>);

impl CheckQueue {
    pub(crate) fn push(&mut self, at: Moment, key: MemberKey) {
        self.0.push(Reverse((at, key)));
    }

    /// Takes the next look that is due at `now`.
    pub(crate) fn pop(&mut self, now: Moment) -> Option<(Moment, MemberKey)> {
        let Reverse((at, _)) = self.0.peek()?;
        if *at > now {
            return None;
        }
        self.0.pop().map(|Reverse(check)| check)
    }
}

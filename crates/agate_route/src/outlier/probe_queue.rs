//! Ejected members in the order in which they are probed.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use agate_core::Moment;
use agate_members::MemberKey;

/// Members whose ejection ends at a given time, and members that are ready for a probe.
#[derive(Debug, Default)]
pub(super) struct ProbeQueue {
    ejected: BinaryHeap<Reverse<(Moment, MemberKey)>>,
    ready: VecDeque<MemberKey>,
}

impl ProbeQueue {
    pub(super) fn push_ejected(&mut self, key: MemberKey, until: Moment) {
        self.ejected.push(Reverse((until, key)));
    }

    /// Removes and returns a member whose ejection is over.
    pub(super) fn pop_expired(&mut self, now: Moment) -> Option<MemberKey> {
        let Reverse((until, _)) = self.ejected.peek()?;
        if *until > now {
            return None;
        }
        self.ejected.pop().map(|Reverse((_, key))| key)
    }

    /// Queues a member for its next probe.
    pub(super) fn push_ready(&mut self, key: MemberKey) {
        self.ready.push_back(key);
    }

    pub(super) fn front(&self) -> Option<MemberKey> {
        self.ready.front().copied()
    }

    pub(super) fn pop_front(&mut self) {
        self.ready.pop_front();
    }
}

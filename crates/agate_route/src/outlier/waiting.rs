//! Ejected members in the order in which they get probes.

use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};

use agate_core::Moment;
use agate_members::MemberKey;

/// Ejected members: some until a moment, some ready for a probe.
#[derive(Debug, Default)]
pub(super) struct Waiting {
    ejected: BinaryHeap<Reverse<(Moment, MemberKey)>>,
    ready: VecDeque<MemberKey>,
}

impl Waiting {
    pub(super) fn eject(&mut self, key: MemberKey, until: Moment) {
        self.ejected.push(Reverse((until, key)));
    }

    /// Takes a member whose ejection is over.
    pub(super) fn pop_over(&mut self, now: Moment) -> Option<MemberKey> {
        let Reverse((until, _)) = self.ejected.peek()?;
        if *until > now {
            return None;
        }
        self.ejected.pop().map(|Reverse((_, key))| key)
    }

    /// Lets a member wait for its next probe.
    pub(super) fn ready(&mut self, key: MemberKey) {
        self.ready.push_back(key);
    }

    pub(super) fn front(&self) -> Option<MemberKey> {
        self.ready.front().copied()
    }

    pub(super) fn pop_front(&mut self) {
        self.ready.pop_front();
    }
}

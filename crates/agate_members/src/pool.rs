//! Pools of members that may get new work.

use agate_wire::message::Load;

use crate::{MemberKey, Occupancy};

/// A set of members and their occupancy, which is updated on every change.
#[derive(Debug, Clone, Default)]
pub(crate) struct Pool {
    keys: Vec<MemberKey>,
    /// Most slots of any member since the pool was last empty.
    max_slots: u32,
    totals: Occupancy,
}

impl Pool {
    /// Adds a member and returns its index.
    pub(crate) fn add(&mut self, key: MemberKey, slots: u32, load: Load) -> usize {
        self.keys.push(key);
        self.max_slots = self.max_slots.max(slots);
        self.totals.add(slots, load);
        self.keys.len() - 1
    }

    /// Removes the member at `index` and returns the member that moves to this index, if any.
    pub(crate) fn remove(&mut self, index: usize, slots: u32, load: Load) -> Option<MemberKey> {
        self.keys.swap_remove(index);
        self.totals.remove(slots, load);
        if self.keys.is_empty() {
            self.max_slots = 0;
        }
        self.keys.get(index).copied()
    }

    /// Replaces the load of one member in the totals.
    pub(crate) fn replace_load(&mut self, old: Load, new: Load) {
        self.totals.replace_load(old, new);
    }

    pub(crate) const fn keys(&self) -> &[MemberKey] {
        self.keys.as_slice()
    }

    pub(crate) const fn max_slots(&self) -> u32 {
        self.max_slots
    }

    pub(crate) const fn totals(&self) -> Occupancy {
        self.totals
    }
}

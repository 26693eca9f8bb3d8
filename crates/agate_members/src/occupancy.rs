//! Occupancy of a set of members.

use agate_wire::message::Load;

/// Totals over a set of members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Occupancy {
    /// Number of members that may get new work.
    pub members: usize,
    /// Number of slots of these members.
    pub slots: u64,
    /// Number of requests running or queued at these members, by their latest reported loads.
    pub busy: u64,
}

impl Occupancy {
    /// Returns the requests as a percentage of the slots; 100 if there are no slots.
    pub const fn percent(self) -> u64 {
        match self.slots {
            0 => 100,
            slots => self.busy * 100 / slots,
        }
    }

    /// Returns the totals over this set and another.
    pub const fn plus(self, other: Self) -> Self {
        Self {
            members: self.members + other.members,
            slots: self.slots + other.slots,
            busy: self.busy + other.busy,
        }
    }

    pub(crate) fn add(&mut self, slots: u32, load: Load) {
        self.members += 1;
        self.slots += u64::from(slots);
        self.busy += busy(load);
    }

    pub(crate) fn remove(&mut self, slots: u32, load: Load) {
        self.members -= 1;
        self.slots -= u64::from(slots);
        self.busy -= busy(load);
    }

    pub(crate) fn replace_load(&mut self, old: Load, new: Load) {
        self.busy = self.busy - busy(old) + busy(new);
    }
}

fn busy(load: Load) -> u64 {
    u64::from(load.running) + u64::from(load.queued)
}

//! How full a set of members is.

use agate_wire::message::Load;

/// Sums over a set of members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Occupancy {
    /// Members that may get new work.
    pub members: usize,
    /// Their slots.
    pub slots: u64,
    /// Requests that they were working on or had waiting by their newest readings.
    pub busy: u64,
}

impl Occupancy {
    /// Requests for each hundred slots; 100 if there are no slots.
    pub const fn percent(self) -> u64 {
        match self.slots {
            0 => 100,
            slots => self.busy * 100 / slots,
        }
    }

    /// The sums over this set and another.
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

//! Tombstones of incarnations that may not rejoin.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use agate_core::{Incarnation, Moment};

/// How long a tombstone is kept. A process frozen for longer has lost its leases and its position
/// in the log order, so its late announcement is harmless.
pub(crate) const TOMBSTONE_TTL: Duration = Duration::from_hours(24);

/// Removed incarnations, each kept for [`TOMBSTONE_TTL`].
#[derive(Debug, Default)]
pub(crate) struct Tombstones {
    expiry: HashMap<Incarnation, Moment>,
    order: VecDeque<(Moment, Incarnation)>,
}

impl Tombstones {
    pub(crate) fn add(&mut self, incarnation: Incarnation, now: Moment) {
        let expiry = now + TOMBSTONE_TTL;
        self.expiry.insert(incarnation, expiry);
        self.order.push_back((expiry, incarnation));
    }

    pub(crate) fn contains(&self, incarnation: Incarnation) -> bool {
        self.expiry.contains_key(&incarnation)
    }

    /// Removes expired tombstones.
    pub(crate) fn prune(&mut self, now: Moment) {
        while let Some(&(expiry, incarnation)) = self.order.front() {
            if expiry > now {
                return;
            }
            self.order.pop_front();
            if self.expiry.get(&incarnation) == Some(&expiry) {
                self.expiry.remove(&incarnation);
            }
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.expiry.len()
    }
}

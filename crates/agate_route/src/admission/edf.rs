//! The queue, ordered by deadline: earliest deadline first.

use std::collections::BTreeMap;

use agate_core::Moment;

use super::AttemptKey;

/// Place in the queue: the deadline, then the order of arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Place {
    pub(super) deadline: Moment,
    arrival: u64,
}

/// Waiting attempts.
#[derive(Debug, Default)]
pub(super) struct EdfQueue {
    order: BTreeMap<Place, AttemptKey>,
    arrivals: u64,
}

impl EdfQueue {
    /// The place that an attempt arriving now gets.
    pub(super) fn place(&mut self, deadline: Moment) -> Place {
        self.arrivals += 1;
        Place {
            deadline,
            arrival: self.arrivals,
        }
    }

    pub(super) fn insert(&mut self, place: Place, key: AttemptKey) {
        self.order.insert(place, key);
    }

    pub(super) fn remove(&mut self, place: Place) {
        self.order.remove(&place);
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Attempts in the order of their deadlines.
    pub(super) fn iter(&self) -> impl Iterator<Item = (Place, AttemptKey)> {
        self.order.iter().map(|(place, key)| (*place, *key))
    }

    /// Attempts with a later place than `place`, in the order of their deadlines.
    pub(super) fn behind(&self, place: Place) -> impl Iterator<Item = AttemptKey> {
        self.order.range(place..).map(|(_, key)| *key)
    }

    /// Attempts with an earlier place than `place`.
    pub(super) fn ahead(&self, place: Place) -> impl Iterator<Item = AttemptKey> {
        self.order.range(..place).map(|(_, key)| *key)
    }
}

//! Earliest-deadline-first (EDF) queue.

use std::collections::BTreeMap;

use agate_core::Moment;

use super::AttemptKey;

/// Position in the queue, ordered by deadline and then by arrival.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueuePosition {
    pub(super) deadline: Moment,
    arrival: u64,
}

/// Queued attempts in order of their deadlines.
#[derive(Debug, Default)]
pub(super) struct EdfQueue {
    order: BTreeMap<QueuePosition, AttemptKey>,
    arrivals: u64,
}

impl EdfQueue {
    /// Returns the position of an attempt that arrives now.
    pub(super) fn next_position(&mut self, deadline: Moment) -> QueuePosition {
        self.arrivals += 1;
        QueuePosition {
            deadline,
            arrival: self.arrivals,
        }
    }

    pub(super) fn insert(&mut self, position: QueuePosition, key: AttemptKey) {
        self.order.insert(position, key);
    }

    pub(super) fn remove(&mut self, position: QueuePosition) {
        self.order.remove(&position);
    }

    pub(super) fn len(&self) -> usize {
        self.order.len()
    }

    /// Iterates over all attempts in order of their deadlines.
    pub(super) fn iter(&self) -> impl Iterator<Item = (QueuePosition, AttemptKey)> {
        self.order.iter().map(|(position, key)| (*position, *key))
    }

    /// Iterates over the attempts at or after `position`, in order of their deadlines.
    pub(super) fn behind(&self, position: QueuePosition) -> impl Iterator<Item = AttemptKey> {
        self.order.range(position..).map(|(_, key)| *key)
    }

    /// Iterates over the attempts before `position`.
    pub(super) fn ahead(&self, position: QueuePosition) -> impl Iterator<Item = AttemptKey> {
        self.order.range(..position).map(|(_, key)| *key)
    }
}

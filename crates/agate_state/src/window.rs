//! Deduplication window of batch ids.

use std::collections::{HashSet, VecDeque};

use agate_records::BatchId;

/// A bounded set of recent batch ids. The oldest id is evicted first.
#[derive(Debug, Clone)]
pub(crate) struct BatchWindow {
    limit: usize,
    order: VecDeque<BatchId>,
    known: HashSet<BatchId>,
}

impl BatchWindow {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            known: HashSet::new(),
        }
    }

    /// Adds `id` and returns whether it was new.
    pub(crate) fn insert(&mut self, id: BatchId) -> bool {
        if !self.known.insert(id) {
            return false;
        }
        self.order.push_back(id);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.known.remove(&oldest);
        }
        true
    }

    /// Returns the ids, oldest first.
    pub(crate) fn iter(&self) -> impl Iterator<Item = BatchId> {
        self.order.iter().copied()
    }
}

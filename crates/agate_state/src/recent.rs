//! Effects of recent batches, for writers that wait for them.

use std::collections::{HashMap, VecDeque};

use agate_records::BatchId;

use crate::{BatchEffect, Effect, RecordEffect};

/// The effects of recent batches, by batch id.
///
/// An append returns only the offset of the batch. The effects of its records are known once the
/// fold has passed that offset. Writers look them up here by the batch id, which is the same for
/// every copy of the batch.
#[derive(Debug)]
pub struct RecentEffects {
    limit: usize,
    order: VecDeque<BatchId>,
    effects: HashMap<BatchId, Vec<RecordEffect>>,
}

impl RecentEffects {
    /// Creates an empty map that keeps up to `limit` batches.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            effects: HashMap::new(),
        }
    }

    /// Records the effects of a batch. Duplicate and already folded batches are ignored.
    pub fn record(&mut self, batch: BatchId, effect: &BatchEffect) {
        let BatchEffect::Folded(effects) = effect else {
            return;
        };
        if self.effects.insert(batch, effects.clone()).is_some() {
            return;
        }
        self.order.push_back(batch);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.effects.remove(&oldest);
        }
    }

    /// Returns the effect of the record at `index` in a batch; `None` if the batch is not folded
    /// here or was evicted, or if the record was malformed.
    pub fn get(&self, batch: BatchId, index: u32) -> Option<&Effect> {
        let effects = self.effects.get(&batch)?;
        let entry = effects.iter().find(|entry| entry.position.index == index)?;
        Some(&entry.effect)
    }
}

//! Effects of the newest batches, for writers that wait for them.

use std::collections::{HashMap, VecDeque};

use agate_records::BatchId;

use crate::{BatchEffect, Effect, RecordEffect};

/// Remembers what the newest batches did.
///
/// A writer learns from its append only where the batch stands. What its records did is known once
/// the fold has passed that place, and is looked up here by the id of the batch, which is the same
/// for every copy of it.
#[derive(Debug)]
pub struct RecentEffects {
    limit: usize,
    order: VecDeque<BatchId>,
    effects: HashMap<BatchId, Vec<RecordEffect>>,
}

impl RecentEffects {
    /// Remembers up to `limit` batches.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            effects: HashMap::new(),
        }
    }

    /// Remembers what a batch did. Copies and batches folded before are ignored.
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

    /// What the record with this index of a batch did; `None` if the batch has not been folded
    /// here, has been forgotten, or the record was malformed.
    pub fn get(&self, batch: BatchId, index: u32) -> Option<&Effect> {
        let effects = self.effects.get(&batch)?;
        let placed = effects
            .iter()
            .find(|placed| placed.position.index == index)?;
        Some(&placed.effect)
    }
}

//! Folding of records one by one.

use agate_core::{Offset, Position};
use agate_records::{Batch, BatchId, Body, DecodedBatch, Record};
use agate_state::{BatchEffect, Effect, State, StateLimits};

/// A log of batches and the state folded from it.
#[derive(Debug)]
pub(crate) struct Folded {
    pub(crate) state: State,
    last: Offset,
}

impl Folded {
    pub(crate) fn new() -> Self {
        Self {
            state: State::new(StateLimits::default()),
            last: Offset::START,
        }
    }

    /// Appends a record in a batch of its own; returns whether it counts, and its place.
    pub(crate) fn append(&mut self, body: impl Into<Body>) -> (bool, Position) {
        let id = BatchId(u128::from(self.last.next().0));
        self.append_as(id, body)
    }

    /// Appends a record in the batch `id`, which may stand in the log already.
    pub(crate) fn append_as(&mut self, id: BatchId, body: impl Into<Body>) -> (bool, Position) {
        self.last = self.last.next();
        let record = Record {
            wall_ms: 0,
            body: body.into(),
        };
        let batch = Batch {
            id,
            records: vec![record],
        };
        let decoded = DecodedBatch::decode(self.last, &batch.encode());
        let counts = match self.state.apply_batch(&decoded) {
            BatchEffect::Folded(effects) => effects
                .iter()
                .any(|placed| matches!(placed.effect, Effect::Applied(_))),
            _ => false,
        };
        (counts, Position::new(self.last, 0))
    }
}

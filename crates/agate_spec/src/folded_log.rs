//! Log whose records are folded as they are appended.

use agate_core::{Offset, Position};
use agate_records::{Batch, BatchId, Body, DecodedBatch, Record};
use agate_state::{BatchEffect, Effect, State, StateLimits};

/// State folded from a log, and the offset of its last batch.
#[derive(Debug)]
pub(crate) struct FoldedLog {
    pub(crate) state: State,
    last: Offset,
}

impl FoldedLog {
    pub(crate) fn new() -> Self {
        Self {
            state: State::new(StateLimits::default()),
            last: Offset::START,
        }
    }

    /// Appends a record in a new batch. Returns whether it was applied, and its position.
    pub(crate) fn append(&mut self, body: impl Into<Body>) -> (bool, Position) {
        let id = BatchId(u128::from(self.last.next().0));
        self.append_as(id, body)
    }

    /// Appends a record in the batch `id`, which may repeat an earlier batch.
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
        let applied = match self.state.apply_batch(&decoded) {
            BatchEffect::Folded(effects) => effects
                .iter()
                .any(|placed| matches!(placed.effect, Effect::Applied(_))),
            _ => false,
        };
        (applied, Position::new(self.last, 0))
    }
}

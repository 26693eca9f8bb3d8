//! Logs in which batches were appended again, after an append without an answer.

use agate_core::{Offset, Position};
use agate_records::{DecodedBatch, SnapshotId};
use agate_state::{BatchEffect, State};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq, proptest};
use proptest::sample::Index;

use super::snapshots::{load, observable_state};
use crate::support::logs::{batches, limits};

/// Number of offsets for each batch of a log: its own, and those of repeats behind it.
const SPACING: u64 = 16;

/// Number of batches after which a repeat is still recognised: the deduplication window of the logs, less the
/// repeated batch itself.
const WINDOW: usize = 7;

fn at(offset: u64, batch: &DecodedBatch) -> DecodedBatch {
    let mut moved = batch.clone();
    moved.offset = Offset(offset);
    for record in &mut moved.records {
        record.position = Position::new(moved.offset, record.position.index);
    }
    moved
}

/// Returns the log with the given repeats: the index of a batch, and how many batches follow before it is
/// appended again. Only batches that were new to the log are repeated.
fn with_repeats(log: &[DecodedBatch], repeats: &[(Index, usize)]) -> Vec<DecodedBatch> {
    let mut all = log.to_vec();
    let mut state = State::new(limits());
    let is_new = |batch| matches!(state.apply_batch(batch), BatchEffect::Folded(_));
    let new: Vec<bool> = log.iter().map(is_new).collect();
    for ((repeated, later), slot) in repeats.iter().zip(1..SPACING) {
        let repeated = repeated.index(log.len());
        let behind = (repeated + later).min(log.len() - 1);
        if new[repeated] {
            let offset = log[behind].offset.0 + slot;
            all.push(at(offset, &log[repeated]));
        }
    }
    all.sort_by_key(|batch| batch.offset);
    all
}

fn folded<'a>(mut state: State, log: impl IntoIterator<Item = &'a DecodedBatch>) -> State {
    for batch in log {
        state.apply_batch(batch);
    }
    state
}

proptest! {
    /// An entry that counted a repeated batch twice, or only after a load, would disagree with the others on presets,
    /// withdrawals, attempts of tasks or runs.
    #[test]
    fn states_agree_however_a_log_with_repeated_batches_is_read(
        log in batches(),
        repeats in vec((any::<Index>(), 0..WINDOW), 1..16),
        cut in any::<Index>(),
        max_bytes in 1..2_000_usize,
    ) {
        if log.is_empty() {
            return Ok(());
        }
        let log: Vec<_> = log.iter().map(|batch| at(batch.offset.0 * SPACING, batch)).collect();
        let repeated = with_repeats(&log, &repeats);
        let end = DecodedBatch::decode(Offset(u64::MAX), &[0xff]);
        let once = folded(State::new(limits()), log.iter().chain([&end]));
        let whole = folded(State::new(limits()), repeated.iter().chain([&end]));
        prop_assert_eq!(observable_state(&whole), observable_state(&once), "read whole");
        let (before, after) = repeated.split_at(cut.index(repeated.len() + 1));
        let snapshot = folded(State::new(limits()), before).snapshot_parts(SnapshotId(1), max_bytes);
        let loaded = folded(load(snapshot), after.iter().chain([&end]));
        prop_assert_eq!(observable_state(&loaded), observable_state(&once), "loaded");
    }
}

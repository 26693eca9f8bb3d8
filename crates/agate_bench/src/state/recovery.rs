//! Recovery from a snapshot compared with folding the whole log.

use std::time::Instant;

use agate_core::Offset;
use agate_records::{Batch, BatchId, Body, DecodedBatch, Record, SnapshotId};
use agate_state::{SnapshotLoader, State, StateLimits};

use super::JOBS;
use super::fixture::{bytes, fold, log};
use crate::report::Table;

/// Bytes of items in one snapshot part, as written by the entry.
const PART_BYTES: usize = 128 * 1024;
/// Tasks of each job.
const TASKS: u32 = 10;

/// Returns the appends of a snapshot of `state`.
fn snapshot(state: &State) -> Vec<Vec<u8>> {
    let parts = state.snapshot_parts(SnapshotId(1), PART_BYTES);
    let batch = |(id, part)| {
        let record = Record {
            wall_ms: 0,
            body: Body::SnapshotPart(part),
        };
        let batch = Batch {
            id: BatchId(id),
            records: vec![record],
        };
        batch.encode()
    };
    (1..).zip(parts).map(batch).collect()
}

fn load(appends: &[Vec<u8>]) -> State {
    let mut loader = SnapshotLoader::new(StateLimits::default());
    for (offset, data) in (1..).zip(appends) {
        for placed in DecodedBatch::decode(Offset(offset), data).records {
            if let Body::SnapshotPart(part) = placed.record.body {
                loader.add(part);
            }
        }
    }
    loader.finish().expect("the snapshot is complete")
}

pub(crate) fn table() -> Table {
    let columns = [
        "open jobs",
        "log bytes",
        "fold ms",
        "snapshot bytes",
        "appends",
        "take ms",
        "load ms",
    ];
    let mut table = Table::new("recovery, decoding included, network not", &columns);
    for jobs in JOBS {
        let log = log(jobs, TASKS);
        let (state, fold_ms) = timed(|| fold(&log));
        let (parts, take_ms) = timed(|| snapshot(&state));
        let (loaded, load_ms) = timed(|| load(&parts));
        table.add_row(vec![
            loaded.open_jobs().to_string(),
            bytes(&log).to_string(),
            format!("{fold_ms:.1}"),
            bytes(&parts).to_string(),
            parts.len().to_string(),
            format!("{take_ms:.1}"),
            format!("{load_ms:.1}"),
        ]);
    }
    table
}

/// Runs `work` and returns its result and duration in milliseconds.
fn timed<T>(work: impl FnOnce() -> T) -> (T, f64) {
    let started = Instant::now();
    let result = work();
    (result, started.elapsed().as_secs_f64() * 1e3)
}

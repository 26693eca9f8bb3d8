//! Records and bytes per task start, and the log services needed for a rate of starts.

use std::time::Instant;

use agate_core::Offset;
use agate_records::DecodedBatch;

use super::fixture::{binding, encode, end, fold, job};
use crate::report::Table;

/// Task starts per second at large scale.
const STARTS_PER_SECOND: u64 = 20_000;
/// Appends per second of one log service.
const APPENDS_PER_SECOND: u64 = 300;
/// Largest size of one append.
const MAX_APPEND_BYTES: usize = 256 * 1024;
/// Jobs with one task each that are started.
const JOBS: u64 = 10_000;

pub(crate) fn table() -> Table {
    let columns = [
        "starts per append",
        "records per start",
        "bytes per start",
        "bytes per end",
        "appends/s at 20000 starts/s",
        "bytes/s",
        "logs of 300 appends/s",
        "fold us per start",
    ];
    let mut table = Table::new("starts of tasks", &columns);
    for group in [1, 10, 67, 1_000] {
        table.add_row(row(group));
    }
    table
}

fn row(group: u64) -> Vec<String> {
    let bodies = |first: u64| (first..first + group).map(binding).collect();
    let bytes = encode(1, bodies(0)).len();
    assert!(
        bytes < MAX_APPEND_BYTES,
        "the group does not fit into one append"
    );
    let end_bytes = encode(1, (0..group).map(end).collect()).len();
    let per_start = bytes as u64 / group;
    let appends = STARTS_PER_SECOND.div_ceil(group);
    vec![
        group.to_string(),
        "1".to_owned(),
        per_start.to_string(),
        (end_bytes as u64 / group).to_string(),
        appends.to_string(),
        (appends * bytes as u64).to_string(),
        appends.div_ceil(APPENDS_PER_SECOND).to_string(),
        format!("{:.2}", fold_micros(group)),
    ]
}

/// Returns the mean microseconds to decode and fold one binding.
fn fold_micros(group: u64) -> f64 {
    let jobs: Vec<Vec<u8>> = (0..JOBS)
        .map(|id| encode(id.into(), vec![job(id, 1)]))
        .collect();
    let mut state = fold(&jobs);
    let starts = (0..JOBS).step_by(usize::try_from(group).unwrap_or(1));
    let appends: Vec<Vec<u8>> = starts
        .map(|first| {
            let bodies = (first..JOBS.min(first + group)).map(binding).collect();
            encode(u128::from(JOBS + first), bodies)
        })
        .collect();
    let started = Instant::now();
    for (offset, data) in (JOBS + 1..).zip(&appends) {
        state.apply_batch(&DecodedBatch::decode(Offset(offset), data));
    }
    started.elapsed().as_secs_f64() * 1e6 / JOBS as f64
}

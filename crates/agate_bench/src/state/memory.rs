//! Memory per open job.

use std::fs;

use super::JOBS;
use super::fixture::{fold, log};
use crate::report::Table;

const BYTES_PER_KIB: u64 = 1_024;

/// Returns the resident memory of this process in bytes.
pub(crate) fn resident_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * BYTES_PER_KIB
}

pub(crate) fn table() -> Table {
    let columns = ["open jobs", "tasks each", "resident bytes", "bytes per job"];
    let mut table = Table::new("memory of the folded state", &columns);
    // Nothing is freed in between; otherwise later rows would reuse freed memory and appear too
    // small.
    let mut kept = Vec::new();
    for jobs in JOBS {
        for tasks in [1, 1_000] {
            let log = log(jobs, tasks);
            let before = resident_bytes();
            let state = fold(&log);
            let used = resident_bytes().saturating_sub(before);
            table.add_row(vec![
                state.open_jobs().to_string(),
                tasks.to_string(),
                used.to_string(),
                (used / jobs).to_string(),
            ]);
            kept.push((log, state));
        }
    }
    drop(kept);
    table
}

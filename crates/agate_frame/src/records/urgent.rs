//! Queries on the urgent requests that ran.

use std::collections::BTreeMap;

use agate_core::hash::stable_hash_wide;

use super::RunRecords;

/// Returns the number of runs of each idempotency key on all backend servers.
pub fn count_runs_by_key(records: &RunRecords) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let keys = records
        .backends
        .iter()
        .flat_map(|record| &record.runs)
        .filter_map(|run| run.key.clone());
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// Returns the number of runs of requests with this body on all backend servers.
pub fn count_runs_by_body(records: &RunRecords, body: &str) -> usize {
    let digest = format!("{:032x}", stable_hash_wide(&[body.as_bytes()]));
    let runs = records.backends.iter().flat_map(|record| &record.runs);
    runs.filter(|run| run.digest == digest).count()
}

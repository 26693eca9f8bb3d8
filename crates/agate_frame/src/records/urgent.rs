//! Urgent requests that ran.

use std::collections::BTreeMap;

use agate_core::hash::stable_hash_wide;

use super::RunRecords;

/// How often each idempotency key ran, over all backend servers.
pub fn count_runs_by_key(records: &RunRecords) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let keys = records
        .backends
        .iter()
        .flat_map(|ran| &ran.runs)
        .filter_map(|run| run.key.clone());
    for key in keys {
        *counts.entry(key).or_default() += 1;
    }
    counts
}

/// How often a request with this body ran, over all backend servers.
pub fn count_runs_by_body(records: &RunRecords, body: &str) -> usize {
    let digest = format!("{:032x}", stable_hash_wide(&[body.as_bytes()]));
    let runs = records.backends.iter().flat_map(|ran| &ran.runs);
    runs.filter(|run| run.digest == digest).count()
}

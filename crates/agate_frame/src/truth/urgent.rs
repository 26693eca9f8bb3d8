//! Urgent requests that ran.

use std::collections::BTreeMap;

use agate_core::hash::stable_hash_wide;

use super::Truth;

/// How often each idempotency key ran, over all backend servers.
pub fn runs_by_key(truth: &Truth) -> BTreeMap<String, usize> {
    let mut counts = BTreeMap::new();
    let keys = truth
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
pub fn runs_by_body(truth: &Truth, body: &str) -> usize {
    let digest = format!("{:032x}", stable_hash_wide(&[body.as_bytes()]));
    let runs = truth.backends.iter().flat_map(|ran| &ran.runs);
    runs.filter(|run| run.digest == digest).count()
}

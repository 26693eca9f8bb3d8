//! Lookup of effects by batch id.

use agate_records::BatchId;
use agate_state::{BatchEffect, Effect, RecentEffects, RejectReason};

use crate::support::{TestLog, batch, cancel, job};

#[test]
fn effects_of_the_first_copy_are_kept() {
    let mut log = TestLog::new();
    let mut recent = RecentEffects::new(2);
    let original = batch(7, vec![job(1, 1).into(), cancel(2).into()]);
    let first = log.apply_batch(&original);
    recent.record(BatchId(7), &first);
    recent.record(BatchId(7), &log.apply_batch(&original));
    assert!(matches!(
        recent.get(BatchId(7), 0),
        Some(Effect::Applied(_))
    ));
    let void = Effect::Rejected(RejectReason::NoSuchJob);
    assert_eq!(recent.get(BatchId(7), 1), Some(&void));
    assert_eq!(recent.get(BatchId(7), 2), None);
}

#[test]
fn oldest_batch_is_evicted() {
    let mut recent = RecentEffects::new(2);
    for id in 1..=3 {
        recent.record(BatchId(id), &BatchEffect::Folded(vec![]));
    }
    recent.record(BatchId(3), &BatchEffect::Duplicate);
    assert_eq!(recent.get(BatchId(1), 0), None);
}

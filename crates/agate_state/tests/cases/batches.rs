//! Deduplication of batches: a batch is folded once, even if the log contains several copies.

use agate_core::{Offset, Version};
use agate_records::DecodedBatch;
use agate_state::{BatchEffect, Effect, RejectReason, StateLimits};

use crate::support::{TestLog, batch, class, publish, resume, switch, withdraw};

#[test]
fn duplicate_withdrawal_does_not_undo_a_later_resumption() {
    let mut log = TestLog::new();
    let withdrawal = batch(1_000, vec![withdraw(class("rebalance")).into()]);
    log.apply_batch(&withdrawal);
    log.apply(resume(class("rebalance")));
    assert_eq!(log.apply_batch(&withdrawal), BatchEffect::Duplicate);
    assert_eq!(log.state.config().withdrawals, []);
}

#[test]
fn copy_outside_the_deduplication_window_is_folded_again() {
    let limits = StateLimits::builder().batches(1).build();
    let mut log = TestLog::with_limits(limits);
    let publication = batch(1_000, vec![publish("day", 1).into()]);
    log.apply_batch(&publication);
    log.apply(publish("day", 2));
    assert!(matches!(
        log.apply_batch(&publication),
        BatchEffect::Folded(_)
    ));
}

#[test]
fn already_folded_offset_is_ignored() {
    let mut log = TestLog::new();
    let decoded = DecodedBatch::decode(
        Offset(1),
        &batch(1, vec![withdraw(class("rebalance")).into()]).encode(),
    );
    log.state.apply_batch(&decoded);
    assert_eq!(log.state.apply_batch(&decoded), BatchEffect::AlreadyFolded);
}

#[test]
fn undecodable_append_is_skipped() {
    let mut log = TestLog::new();
    let decoded = DecodedBatch::decode(Offset(1), b"\xff\xff");
    assert_eq!(decoded.malformed.len(), 1);
    assert_eq!(log.state.apply_batch(&decoded), BatchEffect::Folded(vec![]));
    assert_eq!(log.state.last_applied(), Offset(1));
}

#[test]
fn records_see_earlier_records_of_the_same_batch() {
    let mut log = TestLog::new();
    let bodies = vec![
        publish("day", 1).into(),
        switch("day", Version::default()).into(),
        switch("day", Version::default()).into(),
    ];
    let BatchEffect::Folded(effects) = log.apply_batch(&batch(1, bodies)) else {
        panic!("the batch is new");
    };
    assert!(matches!(effects[1].effect, Effect::Applied(_)));
    let version = Version(effects[1].position);
    let reason = RejectReason::NotInForce {
        name: "day".to_owned(),
        version,
    };
    assert_eq!(effects[2].effect, Effect::Rejected(reason));
}

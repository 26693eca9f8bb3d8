//! Withdrawals and resumptions by class and tag.

use agate_records::RunEnd;
use agate_state::{Effect, RejectReason, StateLimits};
use agate_wire::message::Selector;
use rstest::rstest;

use crate::support::{
    A, B, TestLog, bind, class, end, evicted, job, resume, run, tag, task, withdraw,
};

#[rstest]
#[case::by_class(class("rebalance"))]
#[case::by_tag(tag("season:1"))]
fn binding_is_rejected_from_withdrawal_until_resumption(#[case] selector: Selector) {
    let mut log = TestLog::new();
    log.apply(job(1, 2));
    log.apply(withdraw(selector.clone()));
    let version = log.version();
    let effect = log.apply(bind(run(1, 0, 1), A));
    assert_eq!(
        effect,
        Effect::Rejected(RejectReason::Withdrawn { version })
    );
    log.apply(resume(selector));
    assert!(matches!(
        log.apply(bind(run(1, 0, 1), A)),
        Effect::Applied(_)
    ));
}

#[rstest]
#[case::another_class(class("seat-check"))]
#[case::a_tag_named_like_the_class(tag("rebalance"))]
#[case::another_tag(tag("season:2"))]
fn other_classes_and_tags_are_not_affected(#[case] selector: Selector) {
    let mut log = TestLog::new();
    log.apply(job(1, 1));
    log.apply(withdraw(selector));
    assert!(matches!(
        log.apply(bind(run(1, 0, 1), A)),
        Effect::Applied(_)
    ));
}

#[test]
fn withdrawals_by_class_and_tag_are_resumed_separately() {
    let mut log = TestLog::new();
    log.apply(job(1, 1));
    log.apply(withdraw(class("rebalance")));
    log.apply(withdraw(tag("season:1")));
    log.apply(resume(class("rebalance")));
    assert!(matches!(
        log.apply(bind(run(1, 0, 1), A)),
        Effect::Rejected(_)
    ));
    log.apply(resume(tag("season:1")));
    assert!(matches!(
        log.apply(bind(run(1, 0, 1), A)),
        Effect::Applied(_)
    ));
}

#[test]
fn a_task_evicted_by_a_withdrawal_resumes_once_from_its_checkpoint() {
    let mut log = TestLog::new();
    log.apply(job(1, 1));
    log.apply(bind(run(1, 0, 1), A));
    log.apply(withdraw(class("rebalance")));
    log.apply(end(run(1, 0, 1), A, evicted("half")));
    assert!(matches!(
        log.apply(bind(run(1, 0, 2), B)),
        Effect::Rejected(_)
    ));
    log.apply(resume(class("rebalance")));
    let view = log.state.task(task(1, 0)).unwrap();
    assert_eq!(view.checkpoint.as_deref(), Some("half"));
    assert!(matches!(
        log.apply(bind(run(1, 0, 2), B)),
        Effect::Applied(_)
    ));
    assert!(matches!(
        log.apply(bind(run(1, 0, 2), A)),
        Effect::Rejected(_)
    ));
    assert!(matches!(
        log.apply(bind(run(1, 0, 3), A)),
        Effect::Rejected(_)
    ));
}

#[test]
fn run_that_finishes_while_withdrawn_ends_the_job() {
    let mut log = TestLog::new();
    log.apply(job(1, 1));
    log.apply(bind(run(1, 0, 1), A));
    log.apply(withdraw(class("rebalance")));
    log.apply(end(run(1, 0, 1), A, RunEnd::Finished));
    assert_eq!(log.state.open_jobs(), 0);
}

#[test]
fn resuming_without_a_withdrawal_is_rejected() {
    let mut log = TestLog::new();
    let effect = log.apply(resume(class("rebalance")));
    assert_eq!(effect, Effect::Rejected(RejectReason::NotWithdrawn));
}

#[test]
fn number_of_withdrawals_in_force_is_limited() {
    let limits = StateLimits::builder().withdrawals(1).build();
    let mut log = TestLog::with_limits(limits);
    log.apply(withdraw(class("one")));
    let effect = log.apply(withdraw(class("two")));
    assert_eq!(effect, Effect::Rejected(RejectReason::TooManyWithdrawals));
    assert!(matches!(
        log.apply(withdraw(class("one"))),
        Effect::Applied(_)
    ));
}

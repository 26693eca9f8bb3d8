//! Key table: each key starts at most once, and never after it was refused.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_bind::key::{KeyEvent, KeyState};
use agate_bind::{KeyBindOutcome, KeyLimits, KeyRefusal, KeyStatus, KeyTable};
use agate_core::Key;
use proptest::prelude::*;
use rstest::rstest;

/// Start time of the tests, in milliseconds since the Unix epoch.
const NOW: u64 = 1_800_000_000_000;

const WINDOW: Duration = Duration::from_mins(15);

fn table(keys: usize, bytes: usize) -> KeyTable<&'static str> {
    let limits = KeyLimits::builder()
        .window(WINDOW)
        .max_keys(keys)
        .max_answer_bytes(bytes);
    KeyTable::new(limits.build())
}

fn key(created_ms: u64, tail: u8) -> Key {
    Key::from_parts(created_ms, [tail; 10])
}

#[rstest]
#[case::start(KeyState::Queued, KeyEvent::Start, Some(KeyState::Running))]
#[case::refuse(KeyState::Queued, KeyEvent::Refuse, Some(KeyState::Tombstoned))]
#[case::tombstone(KeyState::Queued, KeyEvent::Tombstone, Some(KeyState::Tombstoned))]
#[case::unsent(KeyState::Running, KeyEvent::Refuse, Some(KeyState::Tombstoned))]
#[case::finish(KeyState::Running, KeyEvent::Finish, Some(KeyState::Done))]
#[case::too_late(KeyState::Running, KeyEvent::Tombstone, None)]
#[case::twice(KeyState::Running, KeyEvent::Start, None)]
#[case::again(KeyState::Done, KeyEvent::Start, None)]
#[case::done_stays(KeyState::Done, KeyEvent::Refuse, None)]
#[case::tombstoned_stays(KeyState::Tombstoned, KeyEvent::Start, None)]
#[case::tombstoned_twice(KeyState::Tombstoned, KeyEvent::Tombstone, Some(KeyState::Tombstoned))]
#[case::failed_stays(KeyState::Failed(String::new()), KeyEvent::Start, None)]
fn transition(#[case] state: KeyState, #[case] event: KeyEvent, #[case] next: Option<KeyState>) {
    assert_eq!(state.next(event).ok(), next);
}

#[rstest]
#[case::inside(0, None)]
#[case::at_the_edge(15 * 60_000, None)]
#[case::past(15 * 60_000 + 1, Some(KeyRefusal::TooOld))]
#[case::ahead(-60_000, None)]
#[case::far_ahead(-60_001, Some(KeyRefusal::FromFuture))]
fn age_of_an_unknown_key(#[case] age_ms: i64, #[case] refusal: Option<KeyRefusal>) {
    let created_ms = NOW
        .checked_add_signed(-age_ms)
        .expect("a time after the epoch");
    let bind = table(8, 100).bind(key(created_ms, 1), NOW);
    let expected = refusal.map_or(KeyBindOutcome::New, KeyBindOutcome::Refused);
    assert_eq!(bind, expected);
}

#[test]
fn full_table_permanently_refuses_new_keys_and_forgets_none() {
    let minute = 60_000;
    let mut table = table(2, 100);
    let (open, closed, refused) = (key(NOW, 1), key(NOW, 2), key(NOW + 14 * minute, 3));
    assert_eq!(table.bind(open, NOW), KeyBindOutcome::New);
    assert_eq!(table.bind(closed, NOW), KeyBindOutcome::New);
    table.refuse(closed).expect("it is queued");
    let full = KeyBindOutcome::Refused(KeyRefusal::Full);
    assert_eq!(table.bind(refused, NOW + 14 * minute), full);

    // The closed key expires and makes room. The refused key stays refused, and the open key is kept.
    let later = NOW + 17 * minute;
    assert_eq!(table.bind(key(later, 4), later), KeyBindOutcome::New);
    assert_eq!(
        table.bind(refused, later),
        KeyBindOutcome::Known(KeyStatus::NotRun)
    );
    assert_eq!(table.status(open), KeyStatus::Queued);
}

#[test]
fn tombstone_of_a_future_key_does_not_block_other_keys() {
    let mut table = table(1, 100);
    assert_eq!(table.bind(key(NOW, 1), NOW), KeyBindOutcome::New);
    let future = key(NOW + 86_400_000, 2);
    assert_eq!(table.tombstone(future, NOW), KeyStatus::Unbound);
    table.refuse(key(NOW, 1)).expect("it is queued");
    let later = NOW + 17 * 60_000;
    assert_eq!(table.bind(key(later, 3), later), KeyBindOutcome::New);
}

#[test]
fn key_with_a_dropped_answer_does_not_run_again() {
    let mut table = table(8, 10);
    for tail in 1..=3 {
        let key = key(NOW, tail);
        table.bind(key, NOW);
        table.start(key).expect("it is queued");
        table.finish(key, "answer", 6).expect("it is running");
        assert!(table.answer_bytes() <= 10);
    }
    let statuses: Vec<_> = (1..=3).map(|tail| table.status(key(NOW, tail))).collect();
    let dropped = KeyStatus::AnswerDropped;
    assert_eq!(
        statuses,
        [dropped.clone(), dropped.clone(), KeyStatus::Done("answer")]
    );
    assert_eq!(table.bind(key(NOW, 1), NOW), KeyBindOutcome::Known(dropped));
}

#[test]
fn backward_clock_step_does_not_revive_an_expired_key() {
    let mut table = table(8, 100);
    let old = key(NOW, 1);
    table.bind(old, NOW);
    table.start(old).expect("it is queued");
    table.finish(old, "answer", 6).expect("it is running");
    let later = NOW + 20 * 60_000;
    table.bind(key(later, 2), later);
    assert_eq!(table.status(old), KeyStatus::Expired);
    assert_eq!(
        table.bind(old, NOW),
        KeyBindOutcome::Refused(KeyRefusal::TooOld)
    );
    assert_eq!(table.tombstone(old, NOW), KeyStatus::Expired);
}

/// An operation on a table.
#[derive(Debug, Clone, Copy)]
enum Op {
    Bind(u8),
    Start(u8),
    Refuse(u8),
    Tombstone(u8),
    Finish(u8),
    Fail(u8),
    /// Moves the wall clock by this many minutes, backwards if negative.
    Clock(i8),
}

fn op() -> impl Strategy<Value = Op> {
    let tail = 0..12_u8;
    prop_oneof![
        3 => tail.clone().prop_map(Op::Bind),
        2 => tail.clone().prop_map(Op::Start),
        1 => tail.clone().prop_map(Op::Refuse),
        1 => tail.clone().prop_map(Op::Tombstone),
        2 => tail.clone().prop_map(Op::Finish),
        1 => tail.prop_map(Op::Fail),
        1 => (-10..20_i8).prop_map(Op::Clock),
    ]
}

/// Events observed at a table.
#[derive(Debug, Default)]
struct Observed {
    started: BTreeMap<u8, u32>,
    answered: BTreeSet<u8>,
    not_run: BTreeSet<u8>,
}

impl Observed {
    fn record_status(&mut self, tail: u8, status: &KeyStatus<u8>) {
        match status {
            KeyStatus::NotRun => {
                self.not_run.insert(tail);
            }
            KeyStatus::Done(answer) => {
                assert_eq!(*answer, tail, "the answer of another key");
                assert!(self.answered.contains(&tail));
            }
            KeyStatus::Running | KeyStatus::AnswerDropped | KeyStatus::Failed(_) => {
                assert!(self.started.contains_key(&tail));
            }
            KeyStatus::Queued | KeyStatus::Unbound | KeyStatus::Expired => {}
        }
    }

    fn check(&self) {
        assert!(self.started.values().all(|count| *count == 1), "{self:?}");
        let both = self
            .not_run
            .iter()
            .find(|tail| self.started.contains_key(tail));
        assert_eq!(both, None, "reported as not run, but it ran: {self:?}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn key_starts_at_most_once_and_never_after_it_was_refused(
        ops in proptest::collection::vec(op(), 1..120),
        limit in 1..8_usize,
    ) {
        let limits = KeyLimits::builder().window(WINDOW).max_keys(limit).max_answer_bytes(3).build();
        let mut table = KeyTable::new(limits);
        let mut observed = Observed::default();
        let mut now = NOW;
        let key = |tail: u8| key(NOW + u64::from(tail) * 120_000, tail);
        for op in ops {
            match op {
                Op::Bind(tail) => match table.bind(key(tail), now) {
                    KeyBindOutcome::Known(status) => observed.record_status(tail, &status),
                    KeyBindOutcome::Refused(KeyRefusal::Full) => {
                        observed.not_run.insert(tail);
                    }
                    KeyBindOutcome::New | KeyBindOutcome::Refused(_) => {}
                },
                Op::Start(tail) => {
                    if table.start(key(tail)).is_ok() {
                        *observed.started.entry(tail).or_default() += 1;
                    }
                }
                Op::Refuse(tail) => {
                    // A started request may be refused only if it never left the agent, so only
                    // queued keys are refused here.
                    if table.status(key(tail)) == KeyStatus::Queued {
                        table.refuse(key(tail)).expect("it is queued");
                        observed.not_run.insert(tail);
                    }
                }
                Op::Tombstone(tail) => {
                    let status = table.tombstone(key(tail), now);
                    observed.record_status(tail, &status);
                }
                Op::Finish(tail) => {
                    if table.finish(key(tail), tail, 1).is_ok() {
                        observed.answered.insert(tail);
                    }
                }
                Op::Fail(tail) => {
                    // The table rejects the failure of a key that is not running.
                    let _ = table.fail(key(tail), "cut");
                }
                Op::Clock(minutes) => {
                    now = now.saturating_add_signed(i64::from(minutes) * 60_000);
                }
            }
            observed.check();
            prop_assert!(table.len() <= limit);
            prop_assert!(table.answer_bytes() <= 3);
        }
    }
}

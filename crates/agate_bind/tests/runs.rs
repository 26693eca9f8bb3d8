//! Run table: each run starts at most once, the capacity is never exceeded, and the lease never
//! shrinks.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_bind::{
    Lease, Pace, RunBindOutcome, RunEnd, RunEvent, RunRefusal, RunState, RunStep, RunStopOutcome,
    RunTable,
};
use agate_core::ids::Offset;
use agate_core::{JobId, Moment, Position, Resources, RunId, TaskId};
use proptest::prelude::*;
use rstest::rstest;

const CAPACITY: Resources = Resources::new(4_000, 4_096, 0);
const HALF: Resources = Resources::new(1_000, 2_048, 0);

fn run(index: u32) -> RunId {
    let task = TaskId {
        job: JobId(1),
        index,
    };
    RunId { task, epoch: 1 }
}

fn bound(index: u32) -> Position {
    Position::new(Offset(10 + u64::from(index)), 0)
}

#[rstest]
#[case::start(
    RunState::Starting,
    RunEvent::Start,
    Some(RunState::Running(Pace::Full))
)]
#[case::refuse(RunState::Starting, RunEvent::Refuse, Some(RunState::Tombstoned))]
#[case::no_refusal_once_running(RunState::Running(Pace::Full), RunEvent::Refuse, None)]
#[case::evict(
    RunState::Running(Pace::Throttled),
    RunEvent::Stop(RunStep::Evict),
    Some(RunState::Stopping(RunStep::Evict))
)]
#[case::stop_overrides_evict(
    RunState::Stopping(RunStep::Evict),
    RunEvent::Stop(RunStep::Stop),
    Some(RunState::Stopping(RunStep::Stop))
)]
#[case::evict_does_not_override_cancel(
    RunState::Stopping(RunStep::Cancel),
    RunEvent::Stop(RunStep::Evict),
    Some(RunState::Stopping(RunStep::Cancel))
)]
#[case::release_does_not_undo_a_stop(
    RunState::Stopping(RunStep::Stop),
    RunEvent::Stop(RunStep::Release),
    Some(RunState::Stopping(RunStep::Stop))
)]
#[case::late_success_after_evict(
    RunState::Stopping(RunStep::Evict),
    RunEvent::End(RunEnd::Finished),
    Some(RunState::Ended(RunEnd::Finished))
)]
#[case::ends_once(
    RunState::Ended(RunEnd::Evicted),
    RunEvent::End(RunEnd::Finished),
    None
)]
#[case::recorded(
    RunState::Ended(RunEnd::Evicted),
    RunEvent::Acknowledge,
    Some(RunState::Acknowledged)
)]
#[case::recorded_once(RunState::Acknowledged, RunEvent::Acknowledge, None)]
#[case::lost(
    RunState::Running(Pace::Full),
    RunEvent::IncarnationLost,
    Some(RunState::Lost)
)]
#[case::lost_for_good(RunState::Lost, RunEvent::Start, None)]
#[case::tombstoned_for_good(RunState::Tombstoned, RunEvent::Start, None)]
fn transition(#[case] state: RunState, #[case] event: RunEvent, #[case] next: Option<RunState>) {
    assert_eq!(state.next(event).ok(), next);
}

#[rstest]
#[case::counts_from_sending(&[(10, 5)], 15)]
#[case::shorter_grant_does_not_shorten_the_lease(&[(10, 5), (11, 1)], 15)]
#[case::late_answer_to_an_early_heartbeat(&[(20, 5), (10, 5)], 25)]
#[case::no_grant(&[(20, 0)], 20)]
// A grant never shortens a lease, so one odd answer held the runs of a lost machine for good.
#[case::longer_than_a_preset_allows(&[(10, u64::MAX), (11, 5)], 3_600_010)]
fn lease_ends(#[case] grants: &[(u64, u64)], #[case] expires_at_ms: u64) {
    let mut lease = Lease::default();
    for (sent, length) in grants {
        lease.renew(Moment::from_millis(*sent), Duration::from_millis(*length));
    }
    assert_eq!(lease.expires_at(), Moment::from_millis(expires_at_ms));
    assert!(lease.is_expired(Moment::from_millis(expires_at_ms)));
    assert!(!lease.is_expired(Moment::from_millis(expires_at_ms - 1)));
}

#[test]
fn evicted_run_holds_its_resources_until_its_checkpoint_is_recorded() {
    let mut table = RunTable::new(CAPACITY, 8);
    for index in 0..2 {
        assert_eq!(
            table.bind(run(index), bound(index), HALF),
            RunBindOutcome::New
        );
        table.start(run(index)).expect("it is starting");
    }
    let active = RunStopOutcome::Active(RunState::Stopping(RunStep::Evict));
    assert_eq!(table.stop(run(0), RunStep::Evict), active);
    table.end(run(0), RunEnd::Evicted).expect("it is stopping");
    let refused = RunBindOutcome::Refused(RunRefusal::NoRoom);
    assert_eq!(table.bind(run(2), bound(2), HALF), refused);
    assert_eq!(table.unreported(), 1);
    table.acknowledge(run(0)).expect("it has ended");
    assert_eq!(table.bind(run(3), bound(3), HALF), RunBindOutcome::New);
    // The refusal is permanent.
    let tombstoned = RunBindOutcome::Known(RunState::Tombstoned);
    assert_eq!(table.bind(run(2), bound(2), HALF), tombstoned);
}

#[test]
fn lost_incarnation_starts_no_run_and_does_not_renew_its_lease() {
    let mut table = RunTable::new(CAPACITY, 8);
    table.renew(Moment::ZERO, Duration::from_millis(5));
    table.bind(run(0), bound(0), HALF);
    assert_eq!(table.mark_lost(), [run(0)]);
    assert_eq!(table.state(run(0)), Some(RunState::Lost));
    table.renew(Moment::ZERO, Duration::from_millis(50));
    assert_eq!(table.lease().expires_at(), Moment::from_millis(5));
    let refused = RunBindOutcome::Refused(RunRefusal::Lost);
    assert_eq!(table.bind(run(1), bound(1), HALF), refused);
}

#[test]
fn forgotten_run_never_starts_again() {
    let mut table = RunTable::new(CAPACITY, 2);
    for index in 0..4 {
        assert_eq!(
            table.bind(run(index), bound(index), HALF),
            RunBindOutcome::New
        );
        table.start(run(index)).expect("it is starting");
        table
            .end(run(index), RunEnd::Finished)
            .expect("it is running");
        table.acknowledge(run(index)).expect("it has ended");
    }
    assert_eq!(table.state(run(0)), None);
    let refused = RunBindOutcome::Refused(RunRefusal::TooOld);
    assert_eq!(table.bind(run(0), bound(0), HALF), refused);
}

/// An operation on a table.
#[derive(Debug, Clone, Copy)]
enum Op {
    Bind(u32),
    Start(u32),
    Refuse(u32),
    Stop(u32, RunStep),
    End(u32, RunEnd),
    Acknowledge(u32),
    Lose,
}

fn op() -> impl Strategy<Value = Op> {
    let index = 0..10_u32;
    let step = prop_oneof![
        Just(RunStep::Throttle),
        Just(RunStep::Release),
        Just(RunStep::Evict),
        Just(RunStep::Stop),
        Just(RunStep::Cancel),
    ];
    let end = prop_oneof![
        Just(RunEnd::Finished),
        Just(RunEnd::Failed),
        Just(RunEnd::Evicted),
        Just(RunEnd::Stopped),
    ];
    prop_oneof![
        40 => index.clone().prop_map(Op::Bind),
        20 => index.clone().prop_map(Op::Start),
        5 => index.clone().prop_map(Op::Refuse),
        15 => (index.clone(), step).prop_map(|(index, step)| Op::Stop(index, step)),
        20 => (index.clone(), end).prop_map(|(index, end)| Op::End(index, end)),
        20 => index.prop_map(Op::Acknowledge),
        1 => Just(Op::Lose),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn run_starts_at_most_once_and_capacity_is_never_exceeded(
        ops in proptest::collection::vec(op(), 1..150),
        limit in 2..8_usize,
    ) {
        let mut table = RunTable::new(CAPACITY, limit);
        let mut starts: BTreeMap<u32, u32> = BTreeMap::new();
        let mut never_started = BTreeSet::new();
        let mut recorded = BTreeSet::new();
        let mut unrecorded_evictions = BTreeSet::new();
        for op in ops {
            match op {
                Op::Bind(index) => match table.bind(run(index), bound(index), HALF) {
                    RunBindOutcome::New => *starts.entry(index).or_default() += 1,
                    RunBindOutcome::Refused(RunRefusal::TooOld) if starts.contains_key(&index) => {}
                    RunBindOutcome::Refused(_) => {
                        never_started.insert(index);
                    }
                    RunBindOutcome::Known(_) => {}
                },
                Op::Start(index) => {
                    // The table rejects the start of a run that is not starting.
                    let _ = table.start(run(index));
                }
                Op::Refuse(index) => {
                    if table.refuse(run(index)).is_ok() {
                        starts.remove(&index);
                        never_started.insert(index);
                    }
                }
                Op::Stop(index, step) => {
                    let stopped = table.stop(run(index), step);
                    if stopped == RunStopOutcome::NotStarted && !recorded.contains(&index) {
                        prop_assert!(!starts.contains_key(&index));
                        never_started.insert(index);
                    }
                }
                Op::End(index, end) => {
                    if table.end(run(index), end).is_ok() && end == RunEnd::Evicted {
                        unrecorded_evictions.insert(index);
                    }
                }
                Op::Acknowledge(index) => {
                    if table.acknowledge(run(index)).is_ok() {
                        recorded.insert(index);
                        unrecorded_evictions.remove(&index);
                    }
                }
                Op::Lose => {
                    table.mark_lost();
                    unrecorded_evictions.clear();
                }
            }
            prop_assert!(starts.values().all(|count| *count == 1), "{starts:?}");
            prop_assert!(!never_started.iter().any(|index| starts.contains_key(index)));
            prop_assert!(table.held().fits_in(CAPACITY));
            let evicted = u32::try_from(unrecorded_evictions.len()).unwrap_or(u32::MAX);
            prop_assert!(table.held().memory_mib >= evicted * HALF.memory_mib);
        }
    }
}

//! Records of another writer that no process of the system writes.

use agate_core::{Incarnation, JobId, Key, Offset, Position, Resources, Version};
use agate_records::{Body, DecodedBatch, KeyBound, Record, RunEnd, SnapshotId, SnapshotPart};
use agate_state::{Effect, SnapshotLoader, State};
use proptest::collection::vec;
use proptest::prelude::{
    Just, ProptestConfig, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest,
};
use proptest::test_runner::RngSeed;

use crate::support::logs::{batches, limits};
use crate::support::{A, bind, cancel, end, resume, run, switch, tag};

const LAST: Position = Position::new(Offset(u64::MAX), u32::MAX);

/// Generates records that have no effect on any state of `batches`.
fn odd_body() -> impl Strategy<Value = Body> {
    let number = || prop_oneof![Just(0), Just(u32::MAX), Just(u32::MAX - 1), 1_000..u32::MAX];
    let part = SnapshotPart {
        snapshot: SnapshotId(u128::MAX),
        at: LAST,
        part: 0,
        parts: 1,
        items: vec![vec![0xff; 40]],
    };
    let key = KeyBound {
        key: Key::from_parts(u64::MAX >> 16, [0xff; 10]),
        incarnation: Incarnation::new(u64::MAX),
        address: ([255, 255, 255, 255], u16::MAX).into(),
    };
    let holder = Incarnation::new(u64::MAX);
    prop_oneof![
        (0..6_u64, 0..4_u32, number()).prop_map(|(job, index, epoch)| {
            let mut record = bind(run(job, index, epoch), A);
            record.demand = Resources::new(u32::MAX, u32::MAX, u32::MAX);
            record.into()
        }),
        (0..6_u64, 4..u32::MAX).prop_map(|(job, index)| bind(run(job, index, 1), A).into()),
        (any::<u64>(), number())
            .prop_map(|(job, epoch)| bind(run(job | 1 << 60, 0, epoch), A).into()),
        (0..6_u64, 0..4_u32, 1_000..u32::MAX).prop_map(move |(job, index, epoch)| {
            end(run(job, index, epoch), holder, RunEnd::Finished).into()
        }),
        any::<u64>().prop_map(|job| cancel(job | 1 << 60).into()),
        Just(switch("day", Version(LAST)).into()),
        Just(resume(tag("odd")).into()),
        Just(key.into()),
        Just(part.into()),
    ]
}

/// Formats what a state holds, without its position.
fn contents(state: &State) -> String {
    let jobs: Vec<_> = (0..6).map(|id| state.job(JobId(id))).collect();
    let bound: Vec<_> = (0..6).map(|id| state.bound_runs(JobId(id))).collect();
    let holders: Vec<_> = state.holders().collect();
    format!("{jobs:?} {bound:?} {holders:?} {:?}", state.config())
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(38),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    #[test]
    fn odd_records_and_appends_must_not_change_what_is_known(
        log in batches(),
        odd in vec(odd_body(), 1..20),
        bytes in vec(any::<u8>(), 0..200),
    ) {
        let mut state = State::new(limits());
        for batch in &log {
            state.apply_batch(batch);
        }
        let known = contents(&state);
        let next = state.last_applied().next();
        for (index, body) in (0..).zip(odd) {
            let record = Record { wall_ms: u64::MAX, body };
            let effect = state.apply(Position::new(next, index), &record);
            prop_assert!(!matches!(effect, Effect::Applied(_)), "{effect:?}");
        }
        state.apply_batch(&DecodedBatch::decode(next.next(), &bytes));
        prop_assert_eq!(contents(&state), known.clone());
        let mut loader = SnapshotLoader::new(limits()).up_to(state.last_applied());
        for part in state.snapshot_parts(SnapshotId(1), 64) {
            loader.add(part);
        }
        prop_assert_eq!(loader.failures(), &[]);
        let restored = loader.finish().expect("the snapshot is complete");
        prop_assert_eq!(contents(&restored), known);
    }
}

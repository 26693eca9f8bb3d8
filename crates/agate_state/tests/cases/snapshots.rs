//! Folding from a snapshot gives the same state as folding the whole log.

use std::num::NonZeroUsize;

use agate_core::{JobId, Offset, Position};
use agate_records::generated::snapshot_item::Of;
use agate_records::generated::{
    Amount, HoldItem, JobItem, Place, SnapshotItem, TaskCounts as CountsItem, TaskItem,
};
use agate_records::{Record, SnapshotId, SnapshotPart};
use agate_state::{SnapshotError, SnapshotLoader, State};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq, proptest};
use proptest::sample::Index;
use prost::Message;

use crate::support::logs::{batches, body, limits};
use crate::support::{A, B, TestLog, cancel, job, task};

/// Formats everything that the public API returns for a state.
fn observable_state(state: &State) -> String {
    let jobs: Vec<_> = (0..6).map(|id| state.job(JobId(id))).collect();
    let runnable: Vec<_> = (0..6).map(|id| state.runnable_tasks(JobId(id))).collect();
    let ids = (0..6).flat_map(|id| (0..4).map(move |index| task(id, index)));
    let tasks: Vec<_> = ids.map(|id| state.task(id)).collect();
    let holders: Vec<_> = [A, B]
        .map(|holder| (state.runs_held_by(holder), state.lost_at(holder)))
        .into();
    let parts = state.snapshot_parts(SnapshotId(0), 64);
    let config = state.config();
    let switches: Vec<_> = state.switches().collect();
    format!("{jobs:?} {runnable:?} {tasks:?} {holders:?} {parts:?} {config:?} {switches:?}")
}

fn load(parts: Vec<SnapshotPart>) -> State {
    let mut loader = SnapshotLoader::new(limits());
    for part in parts {
        loader.add(part);
    }
    assert_eq!(loader.failures(), []);
    loader.finish().expect("every part is there")
}

proptest! {
    #[test]
    fn folding_from_a_snapshot_equals_folding_the_whole_log(
        decoded_log in batches(),
        cut in any::<Index>(),
        max_bytes in 1..2_000_usize,
        overlap in 0..5_usize,
    ) {
        let cut = cut.index(decoded_log.len() + 1);
        let mut all = State::new(limits());
        for batch in &decoded_log[..cut] {
            all.apply_batch(batch);
        }
        let mut loaded = load(all.snapshot_parts(SnapshotId(1), max_bytes));
        prop_assert_eq!(observable_state(&loaded), observable_state(&all));
        let replay_from = cut.saturating_sub(overlap);
        for batch in &decoded_log[cut..] {
            all.apply_batch(batch);
        }
        for batch in &decoded_log[replay_from..] {
            loaded.apply_batch(batch);
        }
        prop_assert_eq!(observable_state(&loaded), observable_state(&all));
    }

    #[test]
    fn damaged_snapshots_never_panic(
        decoded_log in batches(),
        damage in vec((any::<Index>(), any::<Index>(), any::<u8>()), 1..6),
        rest in vec(body(), 0..30),
    ) {
        let mut state = State::new(limits());
        for batch in &decoded_log {
            state.apply_batch(batch);
        }
        let mut parts = state.snapshot_parts(SnapshotId(1), usize::MAX);
        let items = &mut parts[0].items;
        for (item, byte, value) in damage {
            let item = item.index(items.len());
            let Some(len) = NonZeroUsize::new(items[item].len()) else {
                continue;
            };
            items[item][byte.index(len.get())] = value;
        }
        let mut loader = SnapshotLoader::new(limits());
        loader.add(parts.remove(0));
        let Some(mut state) = loader.finish() else {
            return Ok(());
        };
        let next = state.last_applied().next();
        for (index, body) in (0..).zip(rest) {
            state.apply(Position::new(next, index), &Record { wall_ms: 0, body });
        }
    }

    #[test]
    fn arbitrary_items_never_panic(items in vec(vec(any::<u8>(), 0..40), 0..10)) {
        let mut loader = SnapshotLoader::new(limits());
        loader.add(SnapshotPart {
            snapshot: SnapshotId(1),
            at: Position::new(Offset(1), 0),
            part: 0,
            parts: 1,
            items,
        });
        drop(loader.finish());
    }
}

fn log_with_jobs(jobs: u64) -> TestLog {
    let mut log = TestLog::with_limits(limits());
    for id in 0..jobs {
        log.apply(job(id, 3));
    }
    log
}

#[test]
fn the_newest_complete_snapshot_is_loaded() {
    let old = log_with_jobs(1).state.snapshot_parts(SnapshotId(1), 64);
    let newer = log_with_jobs(2).state.snapshot_parts(SnapshotId(2), 64);
    let mut incomplete = log_with_jobs(3).state.snapshot_parts(SnapshotId(3), 64);
    incomplete.pop();
    for parts in [
        [old.clone(), newer.clone(), incomplete.clone()],
        [incomplete, newer, old],
    ] {
        assert_eq!(load(parts.concat()).open_jobs(), 2);
    }
}

#[test]
fn parts_of_two_writers_may_be_reordered_and_duplicated() {
    let one = log_with_jobs(2).state.snapshot_parts(SnapshotId(1), 64);
    let two = log_with_jobs(2).state.snapshot_parts(SnapshotId(2), 64);
    let mut parts: Vec<SnapshotPart> = Vec::new();
    for (a, b) in one.into_iter().rev().zip(two) {
        parts.extend([a.clone(), b, a]);
    }
    assert_eq!(load(parts).open_jobs(), 2);
}

#[test]
fn unbound_tasks_do_not_enlarge_the_snapshot() {
    let bytes = |tasks: u32| {
        let mut log = TestLog::with_limits(limits());
        log.apply(job(1, tasks));
        let parts = log.state.snapshot_parts(SnapshotId(1), usize::MAX);
        parts[0].items.iter().map(Vec::len).sum::<usize>()
    };
    let digits = 2;
    assert!(bytes(1_000_000) <= bytes(1) + digits);
}

#[test]
fn snapshot_size_does_not_grow_with_ended_jobs() {
    let mut log = TestLog::with_limits(limits());
    for id in 0..1_000 {
        log.apply(job(id, 3));
        log.apply(cancel(id));
    }
    let bytes = |state: &State| -> usize {
        let parts = state.snapshot_parts(SnapshotId(1), 1_000);
        parts
            .iter()
            .flat_map(|part| &part.items)
            .map(Vec::len)
            .sum()
    };
    let after_many = bytes(&log.state);
    for id in 1_000..2_000 {
        log.apply(job(id, 3));
        log.apply(cancel(id));
    }
    assert!(bytes(&log.state) <= after_many + 64);
}

#[test]
fn counts_inconsistent_with_bound_runs_are_rejected() {
    let submitted = JobItem {
        submitted: Some(job(1, 2).into()),
        place: Some(Place::default()),
        counts: Some(CountsItem {
            finished: 2,
            ..CountsItem::default()
        }),
        ..JobItem::default()
    };
    let bound = TaskItem {
        job: 1,
        epoch: 1,
        hold: Some(HoldItem {
            incarnation: A.get(),
            demand: Some(Amount::default()),
            place: Some(Place::default()),
        }),
        ..TaskItem::default()
    };
    let encode = |of| SnapshotItem { of: Some(of) }.encode_to_vec();
    let mut loader = SnapshotLoader::new(limits());
    loader.add(SnapshotPart {
        snapshot: SnapshotId(1),
        at: Position::new(Offset(1), 0),
        part: 0,
        parts: 1,
        items: vec![encode(Of::Job(submitted)), encode(Of::Task(bound))],
    });
    assert_eq!(loader.failures(), [SnapshotError::Contradiction]);
    assert!(loader.finish().is_none());
}

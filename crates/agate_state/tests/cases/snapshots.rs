//! Folding from a snapshot gives the same state as folding the whole log.

use std::num::NonZeroUsize;

use agate_core::{JobId, Offset, Position};
use agate_records::generated::snapshot_item::Of;
use agate_records::generated::{
    Amount, EndedJobItem, HoldItem, InForceItem, JobItem, LostItem, Place, PresetItem,
    SnapshotItem, SwitchItem, TaskCounts as CountsItem, TaskItem, TaskRange, WithdrawalItem,
};
use agate_records::{Record, SnapshotId, SnapshotPart};
use agate_state::{SnapshotError, SnapshotLoader, State};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert_eq, proptest};
use proptest::sample::Index;
use prost::Message;
use rstest::rstest;

use crate::support::logs::{batches, body, limits};
use crate::support::{A, B, TestLog, cancel, class, job, publish, task, withdraw};

/// Formats everything that the public API returns for a state.
pub(super) fn observable_state(state: &State) -> String {
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

pub(super) fn load(parts: Vec<SnapshotPart>) -> State {
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

fn job_item(id: u64, tasks: u32) -> JobItem {
    JobItem {
        submitted: Some(job(id, tasks).into()),
        place: Some(Place::default()),
        ..JobItem::default()
    }
}

fn finished(finished: u32) -> CountsItem {
    CountsItem {
        finished,
        ..CountsItem::default()
    }
}

fn task_item(epoch: u32) -> TaskItem {
    TaskItem {
        job: 1,
        epoch,
        hold: Some(HoldItem {
            incarnation: A.get(),
            demand: Some(Amount::default()),
            place: Some(Place::default()),
        }),
        ..TaskItem::default()
    }
}

const LAST: Option<Place> = Some(Place {
    offset: u64::MAX,
    index: u32::MAX,
});

fn ended_item(id: u64) -> EndedJobItem {
    EndedJobItem {
        job: id,
        caller: "caller".to_owned(),
        class: "class".to_owned(),
        tasks: 1,
        counts: Some(finished(1)),
        ..EndedJobItem::default()
    }
}

fn preset_items(version: Option<Place>, switched: Option<Place>) -> Vec<Of> {
    let published = publish("day", 3);
    let in_force = InForceItem {
        name: published.name.clone(),
        json: published.json.clone(),
        version: switched,
    };
    let preset = PresetItem {
        published: Some(published.into()),
        version,
    };
    vec![Of::Preset(preset), Of::InForce(in_force)]
}

// Guards against a snapshot after which a preset can't be replaced, a task not bound, or a job not
// ended.
#[rstest]
#[case::counts_that_overflow(vec![Of::Job(JobItem {
    counts: Some(CountsItem { finished: u32::MAX, failed: u32::MAX, ..CountsItem::default() }),
    ..job_item(1, 2)
})])]
#[case::open_job_without_open_tasks(vec![Of::Job(JobItem {
    ended: vec![TaskRange { first: 0, last: 1 }],
    counts: Some(finished(2)),
    ..job_item(1, 2)
})])]
#[case::cancelled_job_with_unbound_tasks(vec![
    Of::Job(JobItem { cancelled: true, ..job_item(1, 2) }),
    Of::Task(task_item(1)),
])]
#[case::range_past_the_tasks(vec![Of::Job(JobItem {
    ended: vec![TaskRange { first: 0, last: u32::MAX }],
    counts: Some(finished(2)),
    ..job_item(1, 2)
})])]
#[case::last_epoch(vec![Of::Job(job_item(1, 2)), Of::Task(task_item(u32::MAX))])]
#[case::no_epoch(vec![Of::Job(job_item(1, 2)), Of::Task(task_item(0))])]
#[case::task_of_another_job(vec![Of::Job(job_item(2, 2)), Of::Task(task_item(1))])]
#[case::job_twice(vec![Of::Job(job_item(1, 2)), Of::Job(job_item(1, 2))])]
#[case::ended_job_twice(vec![Of::EndedJob(ended_item(1)), Of::EndedJob(ended_item(1))])]
#[case::too_many_tasks(vec![Of::Job(JobItem {
    submitted: Some(job(1, u32::MAX).into()),
    ..job_item(1, 2)
})])]
#[case::job_place(vec![Of::Job(JobItem { place: LAST, ..job_item(1, 2) })])]
#[case::config(vec![Of::Config(LAST.unwrap_or_default())])]
#[case::preset(preset_items(LAST, Some(Place::default())))]
#[case::in_force(preset_items(Some(Place::default()), LAST))]
#[case::switch(vec![Of::Switch(SwitchItem { version: LAST, ..SwitchItem::default() })])]
#[case::withdrawal(vec![Of::Withdrawal(WithdrawalItem {
    withdrawn: Some(withdraw(class("c")).into()),
    version: LAST,
})])]
#[case::lost(vec![Of::Lost(LostItem { incarnation: 1, place: LAST })])]
fn a_snapshot_with_odd_items_is_refused(#[case] items: Vec<Of>) {
    let loader = load_items(items);
    assert_eq!(loader.failures().len(), 1);
    assert!(loader.finish().is_none());
}

#[test]
fn counts_inconsistent_with_bound_runs_are_rejected() {
    let submitted = JobItem {
        counts: Some(finished(2)),
        ..job_item(1, 2)
    };
    let loader = load_items(vec![Of::Job(submitted), Of::Task(task_item(1))]);
    assert_eq!(loader.failures(), [SnapshotError::Contradiction]);
    assert!(loader.finish().is_none());
}

fn load_items(items: Vec<Of>) -> SnapshotLoader {
    let encode = |of| SnapshotItem { of: Some(of) }.encode_to_vec();
    let mut loader = SnapshotLoader::new(limits());
    loader.add(SnapshotPart {
        snapshot: SnapshotId(1),
        at: Position::new(Offset(1), 0),
        part: 0,
        parts: 1,
        items: items.into_iter().map(encode).collect(),
    });
    loader
}

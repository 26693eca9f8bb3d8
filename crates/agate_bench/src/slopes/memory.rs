//! Resident memory by kind of state.

use std::hint::black_box;
use std::process::Command;
use std::time::Duration;

use agate_bind::{KeyLimits, KeyTable};
use agate_core::{Incarnation, Key, Moment, Position, Resources, RunId, TaskId};
use agate_members::View;
use agate_preset::Preset;
use agate_records::{Body, KeyBound, RunBound};
use agate_state::KeyBindings;
use strum::{EnumString, IntoStaticStr};

use super::member::{id, member};
use super::series::{Series, table as series_table};
use crate::cost::batch::{QueueFixture, SchedulerFixture};
use crate::report::Table;
use crate::state::fixture::{encode, fold, job, job_id, log};
use crate::state::memory::resident_bytes;

/// Retention window of keys.
const WINDOW: Duration = Duration::from_mins(15);
/// Creation time of the keys, in milliseconds since the Unix epoch.
const CREATED_MS: u64 = 1_790_000_000_000;
/// Jobs whose tasks are bound.
const BOUND_JOBS: u64 = 1_000;
/// Records per append.
const RECORDS_PER_APPEND: usize = 50;

/// A kind of state whose memory is measured.
#[derive(Debug, Clone, Copy, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum StateKind {
    /// Open jobs in the folded state.
    Jobs,
    /// Bound tasks in the folded state.
    Bound,
    /// Members in an entry's view.
    View,
    /// Workers in an entry's scheduler.
    Scheduler,
    /// Jobs in an entry's queue.
    Queue,
    /// Keys bound through the log.
    Bindings,
    /// Keys in an agent's key table.
    Keys,
}

pub(super) fn table() -> Table {
    let series = [
        measure_in_processes(
            "state::State",
            "open job",
            StateKind::Jobs,
            &[1_000, 100_000],
        ),
        measure_in_processes(
            "state::State",
            "bound task",
            StateKind::Bound,
            &[29_000, 290_000],
        ),
        measure_in_processes("members::View", "member", StateKind::View, &[1_000, 21_000]),
        measure_in_processes(
            "place::Scheduler",
            "worker",
            StateKind::Scheduler,
            &[1_000, 21_000],
        ),
        measure_in_processes(
            "place::Queue",
            "queued job",
            StateKind::Queue,
            &[1_000, 100_000],
        ),
        measure_in_processes(
            "state::KeyBindings",
            "key",
            StateKind::Bindings,
            &[1_000, 100_000],
        ),
        measure_in_processes("bind::KeyTable", "key", StateKind::Keys, &[1_000, 100_000]),
    ];
    series_table("resident bytes", &series)
}

/// Measures each size in its own process. Otherwise memory freed by an earlier state would be
/// reused, and the next state would appear too small.
fn measure_in_processes(
    name: &'static str,
    per: &'static str,
    kind: StateKind,
    sizes: &[u64],
) -> Series {
    Series::measure(name, per, sizes, |size| {
        let program = std::env::current_exe().expect("the program has a path");
        let mut command = Command::new(program);
        command.args([kind.into(), size.to_string().as_str()]);
        let output = command.output().expect("the program runs");
        let text = String::from_utf8_lossy(&output.stdout);
        text.trim().parse().expect("the program prints a number")
    })
}

/// Returns the resident bytes of `size` units of a kind of state in this process.
pub fn measure_memory(kind: StateKind, size: u64) -> u64 {
    match kind {
        StateKind::Jobs => resident_of_fold(&log(size, 10)),
        StateKind::Bound => resident_of_fold(&binding_log(size)),
        StateKind::View => resident_of_build(size, view),
        StateKind::Scheduler => resident_of_build(size, SchedulerFixture::with_workers),
        StateKind::Queue => resident_of_build(size, QueueFixture::with_jobs),
        StateKind::Bindings => resident_of_build(size, bindings),
        StateKind::Keys => resident_of_build(size, key_table),
    }
}

fn resident_of_build<T>(size: u64, build: fn(u64) -> T) -> u64 {
    let before = resident_bytes();
    let state = build(size);
    let used = resident_bytes().saturating_sub(before);
    drop(black_box(state));
    used
}

/// Measures the folding of a log that is already in memory.
fn resident_of_fold(log: &[Vec<u8>]) -> u64 {
    let before = resident_bytes();
    let state = fold(log);
    let used = resident_bytes().saturating_sub(before);
    drop(black_box(state));
    used
}

fn view(members: u64) -> View {
    let site = member(0).site;
    let mut view = View::new(site, Preset::default().membership, Moment::ZERO);
    for number in 1..=members {
        view.announce(member(number), Moment::ZERO);
    }
    view
}

pub(super) fn key(number: u64) -> Key {
    let mut random = [0; 10];
    random[..8].copy_from_slice(&id(number).to_be_bytes());
    Key::from_parts(CREATED_MS, random)
}

fn bindings(keys: u64) -> KeyBindings {
    let mut bindings = KeyBindings::new(WINDOW);
    for number in 1..=keys {
        let record = KeyBound {
            key: key(number),
            incarnation: Incarnation::new(id(number)),
            address: member(number).address,
        };
        bindings.apply(Position::default(), &record, CREATED_MS);
    }
    bindings
}

fn key_table(keys: u64) -> KeyTable<()> {
    let limits = KeyLimits::builder()
        .window(WINDOW)
        .max_keys(usize::MAX)
        .max_answer_bytes(usize::MAX);
    let mut table = KeyTable::<()>::new(limits.build());
    for number in 1..=keys {
        table.bind(key(number), CREATED_MS);
    }
    table
}

/// Returns a log that binds `runs` tasks of a fixed number of jobs.
fn binding_log(runs: u64) -> Vec<Vec<u8>> {
    let opened = (0..BOUND_JOBS).map(|id| job(id, 1_000));
    let mut bodies = opened.chain((0..runs).map(binding_record)).peekable();
    let mut log = Vec::new();
    while bodies.peek().is_some() {
        let group = bodies.by_ref().take(RECORDS_PER_APPEND).collect();
        log.push(encode(log.len() as u128, group));
    }
    log
}

fn binding_record(number: u64) -> Body {
    let task = TaskId {
        job: job_id(number % BOUND_JOBS),
        index: u32::try_from(number / BOUND_JOBS).unwrap_or(u32::MAX),
    };
    Body::from(RunBound {
        run: RunId { task, epoch: 1 },
        incarnation: Incarnation::new(id(number % 21_000)),
        demand: Resources::new(1_000, 2_048, 0),
    })
}

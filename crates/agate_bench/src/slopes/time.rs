//! Processor time of decisions and codecs, in microseconds; readings of this machine.

use std::hint::black_box;
use std::time::{Duration, Instant};

use agate_bind::{KeyLimits, KeyTable};
use agate_core::{Moment, Offset};
use agate_members::View;
use agate_preset::Preset;
use agate_records::DecodedBatch;
use agate_wire::message::Heartbeat;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::bytes::ack;
use super::member::{config, heartbeat, member};
use super::memory::key;
use super::series::{Series, table as series_table};
use crate::cost::batch::SchedulerFixture;
use crate::cost::urgent::RoutingFixture;
use crate::report::Table;
use crate::state::fixture::{binding, encode, end, fold, job};

/// Repetitions of each loop.
const LOOPS: u64 = 20_000;
/// Routing decisions that are timed.
const DECISIONS: u64 = 2_100;
/// Jobs whose records are folded.
const JOBS: u64 = 10_000;
/// Members and workers of a view.
const MEMBERS: [u64; 3] = [10, 1_000, 21_000];
/// When the keys were made, in milliseconds since the Unix epoch.
const WALL_MS: u64 = 1_790_000_000_000;

pub(super) fn table() -> Table {
    let series = [
        Series::measure("heartbeat applied", "member", &MEMBERS, apply),
        Series::measure(
            "heartbeat decoded, answer encoded",
            "run held",
            &[0, 8, 32],
            decode,
        ),
        Series::measure("routing decision", "member", &[100, 1_000, 21_000], route),
        Series::measure("placement and end of a run", "worker", &MEMBERS, place),
        Series::measure(
            "record decoded and folded",
            "record in append",
            &[1, 50, 1_000],
            folding,
        ),
        Series::measure("configuration decoded", "withdrawal", &[1, 100], |n| {
            read(&config(98, n))
        }),
        Series::measure("configuration encoded", "withdrawal", &[1, 100], |n| {
            write(&config(98, n))
        }),
        Series::measure("key bound at an agent", "key held", &[1_000, 100_000], bind),
    ];
    series_table("processor time in microseconds", &series)
}

/// Microseconds that one of `count` repetitions of `work` takes.
fn mean(count: u64, mut work: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    for turn in 0..count {
        work(turn);
    }
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn apply(members: u64) -> f64 {
    let policy = Preset::default().membership;
    let mut view = View::new(member(0).site, policy, Moment::ZERO);
    for number in 1..=members {
        view.announce(member(number), Moment::ZERO);
    }
    let mut beats: Vec<Heartbeat> = (1..=members).map(|number| heartbeat(number, 0)).collect();
    mean(LOOPS, |turn| {
        let index = usize::try_from(turn % members).unwrap_or(0);
        let beat = &mut beats[index];
        beat.sequence += 1;
        black_box(view.record_heartbeat(beat, Moment::from_millis(turn)));
    })
}

fn decode(runs: u64) -> f64 {
    let ack = ack(1);
    read(&heartbeat(1, runs)) + write(&ack)
}

fn read<T: Serialize + DeserializeOwned>(message: &T) -> f64 {
    let json = serde_json::to_vec(message).expect("it can be encoded");
    mean(LOOPS, |_| {
        let message: T = serde_json::from_slice(black_box(&json)).expect("it can be decoded");
        black_box(message);
    })
}

fn write<T: Serialize>(message: &T) -> f64 {
    mean(LOOPS, |_| {
        let json = serde_json::to_vec(black_box(message));
        black_box(json.expect("it can be encoded"));
    })
}

/// Each world decides only for a tenth of its members, as more requests would fill them.
fn route(members: u64) -> f64 {
    let choices = members / 10;
    let worlds = DECISIONS.div_ceil(choices);
    let mean_of_world = |_| {
        let mut fixture = RoutingFixture::with_members(members);
        mean(choices, |_| {
            black_box(fixture.choose());
        })
    };
    (0..worlds).map(mean_of_world).sum::<f64>() / worlds as f64
}

fn place(workers: u64) -> f64 {
    let mut fixture = SchedulerFixture::with_workers(workers);
    mean(LOOPS, |_| {
        fixture.place();
        fixture.end();
    })
}

/// The mean over bindings and ends, in appends of `group` records.
fn folding(group: u64) -> f64 {
    let opened = (0..JOBS).map(|number| encode(number.into(), vec![job(number, 1)]));
    let mut state = fold(&opened.collect::<Vec<_>>());
    let bodies = |first| {
        let runs = first..JOBS.min(first + group);
        let ends = runs.clone().map(end).collect();
        [runs.map(binding).collect(), ends]
    };
    let firsts = (0..JOBS).step_by(usize::try_from(group).unwrap_or(1));
    let appends = (u128::from(JOBS)..).zip(firsts.flat_map(bodies));
    let appends: Vec<Vec<u8>> = appends.map(|(id, bodies)| encode(id, bodies)).collect();
    let started = Instant::now();
    for (offset, data) in (JOBS + 1..).zip(&appends) {
        state.apply_batch(&DecodedBatch::decode(Offset(offset), data));
    }
    started.elapsed().as_secs_f64() * 1e6 / (2 * JOBS) as f64
}

fn bind(held: u64) -> f64 {
    let limits = KeyLimits::builder()
        .window(Duration::from_mins(15))
        .max_keys(usize::MAX)
        .max_answer_bytes(usize::MAX);
    let mut table = KeyTable::<()>::new(limits.build());
    for number in 0..held {
        table.bind(key(number), WALL_MS);
    }
    mean(LOOPS, |turn| {
        black_box(table.bind(key(held + turn), WALL_MS));
    })
}

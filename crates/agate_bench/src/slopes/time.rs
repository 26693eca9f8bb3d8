//! Processor time of decisions and codecs on this machine, in microseconds.

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

/// Iterations of each timed loop.
const ITERATIONS: u64 = 20_000;
/// Timed routing decisions.
const DECISIONS: u64 = 2_100;
/// Jobs whose records are folded.
const JOBS: u64 = 10_000;
/// Numbers of members or workers.
const MEMBERS: [u64; 3] = [10, 1_000, 21_000];
/// Creation time of the keys, in milliseconds since the Unix epoch.
const CREATED_MS: u64 = 1_790_000_000_000;

pub(super) fn table() -> Table {
    let series = [
        Series::measure("heartbeat applied", "member", &MEMBERS, time_heartbeat),
        Series::measure(
            "heartbeat decoded, answer encoded",
            "run held",
            &[0, 8, 32],
            time_heartbeat_codec,
        ),
        Series::measure(
            "routing decision",
            "member",
            &[100, 1_000, 21_000],
            time_routing,
        ),
        Series::measure(
            "placement and end of a run",
            "worker",
            &MEMBERS,
            time_placement,
        ),
        Series::measure(
            "record decoded and folded",
            "record in append",
            &[1, 50, 1_000],
            time_fold,
        ),
        Series::measure("configuration decoded", "withdrawal", &[1, 100], |n| {
            time_decode(&config(98, n))
        }),
        Series::measure("configuration encoded", "withdrawal", &[1, 100], |n| {
            time_encode(&config(98, n))
        }),
        Series::measure(
            "key bound at an agent",
            "key held",
            &[1_000, 100_000],
            time_bind,
        ),
    ];
    series_table("processor time in microseconds", &series)
}

/// Returns the mean microseconds of `count` calls of `work`.
fn mean_micros(count: u64, mut work: impl FnMut(u64)) -> f64 {
    let started = Instant::now();
    for iteration in 0..count {
        work(iteration);
    }
    started.elapsed().as_secs_f64() * 1e6 / count as f64
}

fn time_heartbeat(members: u64) -> f64 {
    let policy = Preset::default().membership;
    let mut view = View::new(member(0).site, policy, Moment::ZERO);
    for number in 1..=members {
        view.announce(member(number), Moment::ZERO);
    }
    let mut heartbeats: Vec<Heartbeat> = (1..=members).map(|number| heartbeat(number, 0)).collect();
    mean_micros(ITERATIONS, |iteration| {
        let index = usize::try_from(iteration % members).unwrap_or(0);
        let current = &mut heartbeats[index];
        current.sequence += 1;
        black_box(view.record_heartbeat(current, Moment::from_millis(iteration)));
    })
}

fn time_heartbeat_codec(runs: u64) -> f64 {
    let ack = ack(1);
    time_decode(&heartbeat(1, runs)) + time_encode(&ack)
}

fn time_decode<T: Serialize + DeserializeOwned>(message: &T) -> f64 {
    let json = serde_json::to_vec(message).expect("the message can be encoded");
    mean_micros(ITERATIONS, |_| {
        let message: T =
            serde_json::from_slice(black_box(&json)).expect("the message can be decoded");
        black_box(message);
    })
}

fn time_encode<T: Serialize>(message: &T) -> f64 {
    mean_micros(ITERATIONS, |_| {
        let json = serde_json::to_vec(black_box(message));
        black_box(json.expect("the message can be encoded"));
    })
}

/// Makes one decision per ten members with each fixture, because more requests would fill the
/// members.
fn time_routing(members: u64) -> f64 {
    let choices = members / 10;
    let fixtures = DECISIONS.div_ceil(choices);
    let mean_of_fixture = |_| {
        let mut fixture = RoutingFixture::with_members(members);
        mean_micros(choices, |_| {
            black_box(fixture.choose());
        })
    };
    (0..fixtures).map(mean_of_fixture).sum::<f64>() / fixtures as f64
}

fn time_placement(workers: u64) -> f64 {
    let mut fixture = SchedulerFixture::with_workers(workers);
    mean_micros(ITERATIONS, |_| {
        fixture.place();
        fixture.end();
    })
}

/// Returns the mean microseconds per record over bindings and ends.
fn time_fold(records_per_append: u64) -> f64 {
    let opened = (0..JOBS).map(|number| encode(number.into(), vec![job(number, 1)]));
    let mut state = fold(&opened.collect::<Vec<_>>());
    let bodies = |first| {
        let runs = first..JOBS.min(first + records_per_append);
        let ends = runs.clone().map(end).collect();
        [runs.map(binding).collect(), ends]
    };
    let firsts = (0..JOBS).step_by(usize::try_from(records_per_append).unwrap_or(1));
    let appends = (u128::from(JOBS)..).zip(firsts.flat_map(bodies));
    let appends: Vec<Vec<u8>> = appends.map(|(id, bodies)| encode(id, bodies)).collect();
    let started = Instant::now();
    for (offset, data) in (JOBS + 1..).zip(&appends) {
        state.apply_batch(&DecodedBatch::decode(Offset(offset), data));
    }
    started.elapsed().as_secs_f64() * 1e6 / (2 * JOBS) as f64
}

fn time_bind(held: u64) -> f64 {
    let limits = KeyLimits::builder()
        .window(Duration::from_mins(15))
        .max_keys(usize::MAX)
        .max_answer_bytes(usize::MAX);
    let mut table = KeyTable::<()>::new(limits.build());
    for number in 0..held {
        table.bind(key(number), CREATED_MS);
    }
    mean_micros(ITERATIONS, |iteration| {
        black_box(table.bind(key(held + iteration), CREATED_MS));
    })
}

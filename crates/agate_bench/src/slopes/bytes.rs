//! Bytes of messages and records.
//!
//! Messages are counted with the envelope of JSON-RPC; frames of WebSocket, pings, and the headers
//! of TCP and IP are not counted.

use agate_core::{Incarnation, Offset, Position, Resources, TraceContext};
use agate_records::{Body, SnapshotId};
use agate_wire::message::{
    HeartbeatAck, ReportAck, RunReport, RunResult, StartReply, StartRun, Verdict,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use serde_json::json;

use super::member::{config, entries, heartbeat, id, name, run};
use super::series::{Series, table as series_table};
use crate::report::Table;
use crate::state::fixture::{binding, encode, end, fold, log};

/// Bytes of items in one part of a snapshot, as the entry writes them.
const PART_BYTES: usize = 128 * 1024;

pub(super) fn table() -> Table {
    let mut series = messages();
    series.extend(records());
    series_table("bytes", &series)
}

fn messages() -> Vec<Series> {
    let beat = |beat| call("entry_heartbeat", &beat);
    let told = |count| {
        let mut beat = heartbeat(1, 0);
        beat.entries = entries(count);
        beat
    };
    let push = |config| call("agent_configure", &config);
    vec![
        Series::measure("heartbeat", "run held", &[0, 8, 32], |runs| {
            beat(heartbeat(1, runs))
        }),
        Series::measure("heartbeat", "entry known", &[1, 21, 181], |n| beat(told(n))),
        Series::measure("acknowledgement", "entry known", &[1, 21, 181], |n| {
            answer(&ack(n))
        }),
        Series::measure("configuration", "withdrawal", &[1, 10, 100], |n| {
            push(config(0, n))
        }),
        Series::measure("configuration", "team", &[0, 10, 98], |n| {
            push(config(n, 1))
        }),
        Series::measure("start and reply", "payload byte", &[100, 1_000], start),
    ]
}

fn records() -> Vec<Series> {
    let group =
        |group: u64, body: fn(u64) -> Body| encode(1, (0..group).map(body).collect()).len() as f64;
    let sizes = [1, 67, 1_000];
    let report = call("entry_report", &report()) + answer(&ReportAck::Recorded);
    vec![
        Series::measure("report and reply", "report", &[0, 1], |n| n as f64 * report),
        Series::measure("append of bindings", "start", &sizes, |n| group(n, binding)),
        Series::measure("append of ends", "end", &sizes, |n| group(n, end)),
        Series::measure("snapshot", "open job", &[1_000, 100_000], snapshot),
    ]
}

/// Bytes of a call.
pub(super) fn call(method: &str, params: &impl Serialize) -> f64 {
    let call = json!({"jsonrpc": "2.0", "id": 86_400, "method": method, "params": [params]});
    call.to_string().len() as f64
}

fn answer(result: &impl Serialize) -> f64 {
    let answer = json!({"jsonrpc": "2.0", "id": 86_400, "result": result});
    answer.to_string().len() as f64
}

/// An acknowledgement without a newer configuration.
pub(super) fn ack(known: u64) -> HeartbeatAck {
    HeartbeatAck {
        verdict: Verdict::Known,
        lease_ms: 59_871,
        config: None,
        entries: entries(known),
    }
}

fn start(payload: u64) -> f64 {
    let start = StartRun {
        run: run(1),
        incarnation: Incarnation::new(id(1)),
        bound: Position::new(Offset(9_460_800_000), 17),
        class: name("rebalance"),
        tags: vec![name("season:2026")],
        team: name("seating"),
        demand: Resources::new(1_000, 2_048, 0),
        declared: Resources::new(1_000, 2_048, 0),
        checkpoint: None,
        payload: "x".repeat(usize::try_from(payload).unwrap_or(usize::MAX)),
        trace: TraceContext::root(&mut SmallRng::seed_from_u64(1), true),
    };
    call("agent_start", &start) + answer(&StartReply::Started)
}

fn report() -> RunReport {
    RunReport {
        run: run(1),
        incarnation: Incarnation::new(id(1)),
        result: RunResult::Finished,
        peak: Resources::new(870, 1_900, 0),
        ran_ms: 125_000,
    }
}

fn snapshot(jobs: u64) -> f64 {
    let state = fold(&log(jobs, 10));
    let parts = state.snapshot_parts(SnapshotId(1), PART_BYTES);
    let bodies = parts.into_iter().map(Body::SnapshotPart);
    (1..)
        .zip(bodies)
        .map(|(id, body)| encode(id, vec![body]).len() as f64)
        .sum()
}

//! Encoded sizes of messages and records.
//!
//! Sizes of messages include the JSON-RPC envelope, but not WebSocket frames, pings, or TCP and IP
//! headers.

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

/// Bytes of items in one snapshot part, as written by the entry.
const PART_BYTES: usize = 128 * 1024;

pub(super) fn table() -> Table {
    let mut series = messages();
    series.extend(records());
    series_table("bytes", &series)
}

fn messages() -> Vec<Series> {
    let heartbeat_bytes = |message| call_bytes("entry_heartbeat", &message);
    let with_entries = |count| {
        let mut message = heartbeat(1, 0);
        message.entries = entries(count);
        message
    };
    let configuration_bytes = |config| call_bytes("agent_configure", &config);
    vec![
        Series::measure("heartbeat", "run held", &[0, 8, 32], |runs| {
            heartbeat_bytes(heartbeat(1, runs))
        }),
        Series::measure("heartbeat", "entry known", &[1, 21, 181], |n| {
            heartbeat_bytes(with_entries(n))
        }),
        Series::measure("acknowledgement", "entry known", &[1, 21, 181], |n| {
            response_bytes(&ack(n))
        }),
        Series::measure("configuration", "withdrawal", &[1, 10, 100], |n| {
            configuration_bytes(config(0, n))
        }),
        Series::measure("configuration", "team", &[0, 10, 98], |n| {
            configuration_bytes(config(n, 1))
        }),
        Series::measure(
            "start and reply",
            "payload byte",
            &[100, 1_000],
            start_bytes,
        ),
    ]
}

fn records() -> Vec<Series> {
    let append_bytes = |batch_len: u64, body: fn(u64) -> Body| {
        encode(1, (0..batch_len).map(body).collect()).len() as f64
    };
    let sizes = [1, 67, 1_000];
    let report = call_bytes("entry_report", &report()) + response_bytes(&ReportAck::Recorded);
    vec![
        Series::measure("report and reply", "report", &[0, 1], |n| n as f64 * report),
        Series::measure("append of bindings", "start", &sizes, |n| {
            append_bytes(n, binding)
        }),
        Series::measure("append of ends", "end", &sizes, |n| append_bytes(n, end)),
        Series::measure("snapshot", "open job", &[1_000, 100_000], snapshot_bytes),
    ]
}

/// Returns the bytes of a JSON-RPC call.
pub(super) fn call_bytes(method: &str, params: &impl Serialize) -> f64 {
    let call = json!({"jsonrpc": "2.0", "id": 86_400, "method": method, "params": [params]});
    call.to_string().len() as f64
}

fn response_bytes(result: &impl Serialize) -> f64 {
    let response = json!({"jsonrpc": "2.0", "id": 86_400, "result": result});
    response.to_string().len() as f64
}

/// Returns an acknowledgement without a newer configuration.
pub(super) fn ack(known: u64) -> HeartbeatAck {
    HeartbeatAck {
        verdict: Verdict::Known,
        lease_ms: 59_871,
        config: None,
        refuted: None,
        entries: entries(known),
    }
}

fn start_bytes(payload: u64) -> f64 {
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
    call_bytes("agent_start", &start) + response_bytes(&StartReply::Started)
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

fn snapshot_bytes(jobs: u64) -> f64 {
    let state = fold(&log(jobs, 10));
    let parts = state.snapshot_parts(SnapshotId(1), PART_BYTES);
    let bodies = parts.into_iter().map(Body::SnapshotPart);
    (1..)
        .zip(bodies)
        .map(|(id, body)| encode(id, vec![body]).len() as f64)
        .sum()
}

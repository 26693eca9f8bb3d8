//! Calls that an entry makes on an agent.

use std::net::SocketAddr;

use agate_agent::Agent;
use agate_core::clock::wall_millis;
use agate_core::ids::Offset;
use agate_core::{Incarnation, JobId, Key, Position, Resources, RunId, TaskId, TraceContext};
use agate_wire::Blob;
use agate_wire::message::{
    KeyStatusRequest, Refusal, ServeReply, ServeRequest, ServeResult, StartRun,
};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use rand::Rng;

use super::PATIENCE;

/// Connects to an agent as an entry does.
pub async fn dial(address: SocketAddr) -> WsClient {
    WsClientBuilder::default()
        .request_timeout(PATIENCE)
        .build(format!("ws://{address}"))
        .await
        .expect("the agent listens")
}

pub fn key() -> Key {
    Key::from_parts(wall_millis(), rand::rng().random())
}

/// A request to `agent` of class `seat-check` without a key, with a body of its own.
pub fn request(agent: &Agent, id: u64) -> ServeRequest {
    request_to(agent.incarnation(), id)
}

/// As [`request`], to an incarnation in another process.
pub fn request_to(incarnation: Incarnation, id: u64) -> ServeRequest {
    ServeRequest {
        request: id,
        incarnation,
        key: None,
        caller: "family-1".parse().expect("a valid name"),
        class: "seat-check".parse().expect("a valid name"),
        budget_ms: 10_000,
        trace: TraceContext::root(&mut rand::rng(), true),
        media: "text/plain".to_owned(),
        body: Blob::new(format!("body of {id}").as_bytes()),
    }
}

/// A request to start the first run of task `index`, bound in the order of the tasks, with half of
/// the worker's memory and the given payload.
pub fn run_to(incarnation: Incarnation, index: u32, payload: &str) -> StartRun {
    let task = TaskId {
        job: JobId(1),
        index,
    };
    StartRun {
        run: RunId { task, epoch: 1 },
        incarnation,
        bound: Position::new(Offset(100 + u64::from(index * 10)), 0),
        class: "rebalance".parse().expect("a valid name"),
        tags: vec!["season:2026".parse().expect("a valid name")],
        team: "holiday".parse().expect("a valid name"),
        demand: Resources::new(1_000, 2_048, 0),
        declared: Resources::new(1_000, 2_048, 0),
        checkpoint: None,
        payload: payload.to_owned(),
        trace: TraceContext::root(&mut rand::rng(), true),
    }
}

pub fn done_body(reply: &ServeReply) -> Vec<u8> {
    let ServeResult::Done(answer) = &reply.result else {
        panic!("expected an answer, found {:?}", reply.result);
    };
    answer.body.decode().expect("the answer is whole")
}

pub fn refusal(reply: &ServeReply) -> Option<Refusal> {
    match &reply.result {
        ServeResult::Refused { reason, .. } => Some(*reason),
        ServeResult::Done(_) | ServeResult::Failed { .. } => None,
    }
}

pub fn keyed(mut request: ServeRequest, key: Key) -> ServeRequest {
    request.key = Some(key);
    request
}

pub fn ask(key: Key, incarnation: Incarnation, tombstone: bool) -> KeyStatusRequest {
    KeyStatusRequest {
        key,
        incarnation,
        tombstone,
        wait_ms: 10_000,
    }
}

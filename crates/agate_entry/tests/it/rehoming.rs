//! Jobs whose owner changes.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::hash::stable_hash;
use agate_core::{Incarnation, JobId};
use agate_entry::Running;
use agate_wire::message::{EntryInfo, Hello, Welcome};
use agate_wire::rpc::EntryRpcClient;
use http::StatusCode;
use jsonrpsee::ws_client::WsClientBuilder;
use serde_json::json;

use crate::support::{caller_client, eventually, site, start_entry_on, start_log, start_worker};

const JOB: JobId = JobId(0x2a);

/// Announces another entry, always at the same address, so that it replaces the previous one.
async fn announce(entry: SocketAddr, incarnation: Incarnation) -> Welcome {
    greet(entry, incarnation, false).await
}

async fn greet(entry: SocketAddr, incarnation: Incarnation, leaving: bool) -> Welcome {
    let client = WsClientBuilder::new();
    let client = client.build(format!("ws://{entry}")).await.unwrap();
    let peer = EntryInfo {
        incarnation,
        address: "127.0.0.1:1".parse().unwrap(),
        site: site(),
    };
    let hello = Hello {
        member: None,
        entry: Some(peer),
        leaving,
    };
    client.hello(hello).await.unwrap()
}

fn weight(entry: Incarnation) -> u64 {
    stable_hash(&[&entry.get().to_be_bytes(), &JOB.0.to_be_bytes()])
}

async fn submit(entry: &Running) -> StatusCode {
    let body = json!({
        "job": "2a",
        "team": "board",
        "class": "rebalance",
        "tasks": 1,
        "resources": {"millicores": 1_000},
    });
    caller_client(entry)
        .post("/v1/jobs", body.to_string())
        .await
        .status()
}

#[tokio::test]
async fn job_opened_while_the_set_of_entries_flaps_is_queued() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    let address = entry.rpc_address();
    let probe = announce(address, Incarnation::new(1)).await;
    let mine = weight(probe.entry.incarnation);
    let peers = || (1..1_000_000).map(Incarnation::new);
    let loses = peers().find(|peer| weight(*peer) < mine).unwrap();
    let wins = peers().find(|peer| weight(*peer) > mine).unwrap();
    announce(address, loses).await;
    // The entry has checked its peers by now, and checks again only after the list is restored.
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    announce(address, wins).await;
    assert_eq!(submit(&entry).await, StatusCode::CREATED);
    announce(address, loses).await;
    for _ in 0..200 {
        if !agent.lock().starts.is_empty() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    panic!("no entry queued the job");
}

/// The peer places nothing once it leaves, and is forgotten only after a minute of silence.
#[tokio::test]
async fn job_of_an_entry_that_leaves_is_placed_by_another_at_once() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    let address = entry.rpc_address();
    let probe = announce(address, Incarnation::new(1)).await;
    let mine = weight(probe.entry.incarnation);
    let mut peers = (2..1_000_000).map(Incarnation::new);
    let wins = peers.find(|peer| weight(*peer) > mine).unwrap();
    announce(address, wins).await;
    assert_eq!(submit(&entry).await, StatusCode::CREATED);
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert!(agent.lock().starts.is_empty(), "the peer owns the job");
    greet(address, wins, true).await;
    eventually("the job is placed", async || {
        !agent.lock().starts.is_empty()
    })
    .await;
}

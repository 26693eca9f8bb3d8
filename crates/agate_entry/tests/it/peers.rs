//! The list of other entries.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Incarnation, Version};
use agate_wire::message::{EntryInfo, Heartbeat, Hello, Load};
use agate_wire::rpc::EntryRpcClient;
use jsonrpsee::ws_client::WsClientBuilder;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::support::{Http, eventually, operator_client, site, start_entry_on, start_log, value};

/// A heartbeat that mentions an entry at `mentioned`.
fn heartbeat_mentioning(sequence: u64, mentioned: SocketAddr) -> Heartbeat {
    let dead = EntryInfo {
        incarnation: Incarnation::new(99),
        address: mentioned,
        site: site(),
    };
    Heartbeat {
        incarnation: Incarnation::new(1),
        sequence,
        leaving: false,
        load: Load::default(),
        config: Version::default(),
        runs: Vec::new(),
        usage: Vec::new(),
        urgent: Vec::new(),
        entries: vec![dead],
    }
}

#[tokio::test]
async fn entry_known_only_from_gossip_is_not_listed() {
    let log = start_log().await;
    let entry = start_entry_on(&log, Vec::new()).await;
    let client = WsClientBuilder::new()
        .build(format!("ws://{}", entry.rpc_address()))
        .await
        .unwrap();
    // The listener is dropped, so its port refuses connections.
    let dead = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    for sequence in 1..=3 {
        let ack = client
            .heartbeat(heartbeat_mentioning(sequence, dead))
            .await
            .unwrap();
        let addresses: Vec<SocketAddr> = ack.entries.iter().map(|entry| entry.address).collect();
        assert_eq!(addresses, [entry.rpc_address()]);
    }
}

/// False addresses filled the list, so that an entry that announced itself was not listed.
#[tokio::test]
async fn an_entry_that_announces_itself_replaces_a_mentioned_one() {
    let log = start_log().await;
    let entry = start_entry_on(&log, Vec::new()).await;
    let client = WsClientBuilder::new()
        .build(format!("ws://{}", entry.rpc_address()))
        .await
        .unwrap();
    let mut heartbeat = heartbeat_mentioning(1, SocketAddr::from(([127, 0, 0, 1], 1)));
    let mentioned = heartbeat.entries[0].clone();
    heartbeat.entries = (1..=300)
        .map(|port| EntryInfo {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            ..mentioned.clone()
        })
        .collect();
    client.heartbeat(heartbeat).await.unwrap();
    let announced = EntryInfo {
        incarnation: Incarnation::new(7),
        address: SocketAddr::from(([127, 0, 0, 2], 1)),
        site: site(),
    };
    let hello = Hello {
        member: None,
        entry: Some(announced.clone()),
        leaving: false,
    };
    let welcome = client.hello(hello).await.unwrap();
    assert_eq!(welcome.peers, [announced]);
}

/// The entry and its peer.
const EXPECTED_ENTRIES: usize = 2;

async fn listed_entries(operator: &Http) -> usize {
    let members = value(&operator.get("/v1/members").await);
    members["entries"].as_array().map_or(0, Vec::len)
}

#[tokio::test]
async fn live_entries_keep_each_other_under_a_short_forget_time() {
    let log = start_log().await;
    let left = start_entry_on(&log, Vec::new()).await;
    let right = start_entry_on(&log, vec![left.rpc_address()]).await;
    let operator = operator_client(&left);
    let membership = json!({"heartbeat_ms": 200, "suspect_ms": 1_000, "forget_ms": 2_000});
    let preset = json!({"name": "quick", "preset": {"kind": "ordinary", "membership": membership}});
    operator.post("/v1/presets", preset.to_string()).await;
    operator
        .post(
            "/v1/presets/switch",
            json!({"name": "quick", "expected": "0+0"}).to_string(),
        )
        .await;
    eventually("the entries know each other", async || {
        listed_entries(&operator).await == EXPECTED_ENTRIES
    })
    .await;
    let end = Instant::now() + Duration::from_secs(9);
    while Instant::now() < end {
        assert_eq!(listed_entries(&operator).await, EXPECTED_ENTRIES);
        sleep(Duration::from_millis(100)).await;
    }
    drop(right);
}

/// Its jobs would wait until it is forgotten, after a minute of silence.
#[tokio::test]
async fn entry_that_leaves_is_delisted_while_it_drains() {
    let log = start_log().await;
    let left = start_entry_on(&log, Vec::new()).await;
    let right = start_entry_on(&log, vec![left.rpc_address()]).await;
    let operator = operator_client(&left);
    eventually("the entries know each other", async || {
        listed_entries(&operator).await == EXPECTED_ENTRIES
    })
    .await;
    right.shutdown().leave();
    let ended = tokio::spawn(right.wait());
    eventually("the leaving entry is delisted", async || {
        listed_entries(&operator).await == 1
    })
    .await;
    ended.await.unwrap().unwrap();
    sleep(Duration::from_secs(1)).await;
    assert_eq!(listed_entries(&operator).await, 1);
}

//! Which other entries an entry counts with.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Incarnation, Version};
use agate_wire::message::{EntryInfo, Heartbeat, Load};
use agate_wire::rpc::EntryRpcClient;
use jsonrpsee::ws_client::WsClientBuilder;
use serde_json::json;
use tokio::time::{Instant, sleep};

use crate::support::{Http, entry_on, eventually, log, operators, site, value};

/// A heartbeat that mentions an entry at `mentioned`.
fn beat(sequence: u64, mentioned: SocketAddr) -> Heartbeat {
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
async fn entry_that_only_others_mention_is_not_counted() {
    let log = log().await;
    let entry = entry_on(&log, Vec::new()).await;
    let client = WsClientBuilder::new()
        .build(format!("ws://{}", entry.rpc_address()))
        .await
        .unwrap();
    // Nobody listens on the port of a listener that is gone.
    let dead = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    for sequence in 1..=3 {
        let ack = client.heartbeat(beat(sequence, dead)).await.unwrap();
        let addresses: Vec<SocketAddr> = ack.entries.iter().map(|entry| entry.address).collect();
        assert_eq!(addresses, [entry.rpc_address()]);
    }
}

/// An entry and its peer.
const BOTH: usize = 2;

async fn counted(operator: &Http) -> usize {
    let members = value(&operator.get("/v1/members").await);
    members["entries"].as_array().map_or(0, Vec::len)
}

#[tokio::test]
async fn live_entries_never_forget_each_other_however_short_the_patience() {
    let log = log().await;
    let left = entry_on(&log, Vec::new()).await;
    let right = entry_on(&log, vec![left.rpc_address()]).await;
    let operator = operators(&left);
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
        counted(&operator).await == BOTH
    })
    .await;
    let end = Instant::now() + Duration::from_secs(9);
    while Instant::now() < end {
        assert_eq!(counted(&operator).await, BOTH);
        sleep(Duration::from_millis(100)).await;
    }
    drop(right);
}

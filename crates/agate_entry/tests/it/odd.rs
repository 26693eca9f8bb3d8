//! Messages of another writer that no sound agent or entry sends.

use agate_core::{Host, Incarnation, Offset, Position, Resources, Version};
use agate_wire::message::{
    Capacity, ConfigState, EntryInfo, Heartbeat, HeartbeatAck, Hello, Load, MemberInfo, ReportAck,
    RunReport, Verdict, Welcome,
};
use agate_wire::rpc::{EntryRpcClient, EntryRpcServer};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::Server;
use jsonrpsee::ws_client::WsClientBuilder;
use rstest::rstest;
use serde_json::json;

use crate::support::{
    Behaviour, FakeAgent, eventually, operator_client, site, start_entry, start_entry_on,
    start_log, start_worker, value,
};

fn announcement(incarnation: u64, agent: &FakeAgent) -> MemberInfo {
    MemberInfo {
        incarnation: Incarnation::new(incarnation),
        host: Host::Worker,
        address: agent.address,
        site: site(),
        capacity: Capacity {
            slots: u32::MAX,
            connections: u32::MAX,
            resources: Resources::new(u32::MAX, u32::MAX, u32::MAX),
        },
        classes: Vec::new(),
    }
}

// Guards against the loss of a sound agent whose address another announcement names.
#[rstest]
#[case::another_incarnation(99)]
#[case::the_same_incarnation(1)]
#[tokio::test]
async fn an_odd_announcement_must_not_displace_an_agent(#[case] incarnation: u64) {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    let client = WsClientBuilder::new()
        .build(format!("ws://{}", entry.rpc_address()))
        .await
        .unwrap();
    let hello = Hello {
        member: Some(announcement(incarnation, &agent)),
        entry: None,
        leaving: false,
    };
    client.hello(hello).await.unwrap();
    agent.lock().ack = None;
    eventually("a heartbeat is answered", async || {
        agent.lock().ack.is_some()
    })
    .await;
    let verdict = agent.lock().ack.as_ref().map(|ack| ack.verdict);
    assert_eq!(verdict, Some(Verdict::Known));
    let listed = value(&operator_client(&entry).get("/v1/members").await);
    assert_eq!(listed["members"][0]["slots"], 8);
}

/// An entry that answers each hello with a configuration that no log holds.
struct OddPeer(EntryInfo);

fn odd_config() -> ConfigState {
    ConfigState {
        version: Version(Position::new(Offset(u64::MAX), u32::MAX)),
        preset: None,
        withdrawals: Vec::new(),
    }
}

#[async_trait]
impl EntryRpcServer for OddPeer {
    async fn hello(&self, _hello: Hello) -> RpcResult<Welcome> {
        Ok(Welcome {
            entry: self.0.clone(),
            peers: Vec::new(),
            config: Some(odd_config()),
        })
    }

    async fn heartbeat(&self, _heartbeat: Heartbeat) -> RpcResult<HeartbeatAck> {
        unimplemented!("no agent knows this entry")
    }

    async fn report(&self, _report: RunReport) -> RpcResult<ReportAck> {
        unimplemented!("no agent knows this entry")
    }
}

// Guards against a configuration version that no switch can replace, at the entry and its agents.
#[tokio::test]
async fn an_odd_config_version_must_not_outlast_the_next_read() {
    let server = Server::builder().build("127.0.0.1:0").await.unwrap();
    let info = EntryInfo {
        incarnation: Incarnation::new(77),
        address: server.local_addr().unwrap(),
        site: site(),
    };
    let address = info.address;
    let _server = server.start(OddPeer(info).into_rpc());
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![address]).await;
    let client = WsClientBuilder::new()
        .build(format!("ws://{}", entry.rpc_address()))
        .await
        .unwrap();
    let operator = operator_client(&entry);
    let preset = json!({"name": "day", "preset": {"kind": "ordinary"}});
    operator.post("/v1/presets", preset.to_string()).await;
    let switch = json!({"name": "day", "expected": "0+0"});
    operator
        .post("/v1/presets/switch", switch.to_string())
        .await;
    let heartbeat = Heartbeat {
        incarnation: Incarnation::new(1),
        sequence: 1,
        leaving: false,
        load: Load::default(),
        config: odd_config().version,
        runs: Vec::new(),
        usage: Vec::new(),
        urgent: Vec::new(),
        entries: Vec::new(),
    };
    eventually("the answer has the preset of the log", async || {
        let ack = client.heartbeat(heartbeat.clone()).await.unwrap();
        ack.config.is_some_and(|config| config.preset.is_some())
    })
    .await;
}

// Guards against a restarted agent that is kept out because its predecessor is still known.
#[tokio::test]
async fn a_restarted_agent_must_replace_its_predecessor() {
    let entry = start_entry().await;
    let restarted = FakeAgent::start(2, Behaviour::Answer).await;
    let _predecessor = FakeAgent::start(1, Behaviour::Answer)
        .await
        .join(entry.rpc_address(), Host::Worker, restarted.address)
        .await;
    let _heartbeats = restarted
        .join(entry.rpc_address(), Host::Worker, restarted.address)
        .await;
    eventually("the restarted agent is known", async || {
        let ack = restarted.lock().ack.clone();
        ack.is_some_and(|ack| ack.verdict == Verdict::Known)
    })
    .await;
}

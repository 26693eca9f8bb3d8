//! Messages of another writer that no sound agent or entry sends.

use agate_core::{Host, Incarnation, Resources};
use agate_wire::message::{Capacity, Hello, MemberInfo, Verdict};
use agate_wire::rpc::EntryRpcClient;
use jsonrpsee::ws_client::WsClientBuilder;
use rstest::rstest;

use crate::support::{
    Behaviour, FakeAgent, eventually, operator_client, site, start_entry, start_worker, value,
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

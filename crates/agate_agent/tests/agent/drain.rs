//! Planned stops, and planned stops that are cut short.

use std::sync::Arc;
use std::time::Duration;

use agate_agent::DrainOutcome;
use agate_wire::message::{RunResult, ServeResult, StartReply};
use agate_wire::rpc::AgentRpcClient;
use standin_backend::{Config, Fault, Handle, ServiceTime, serve};

use crate::support::{
    AgentOptions, FakeEntry, WorkerFixture, connect_agent, quick_config, request, wait_until,
};

async fn backend() -> Handle {
    let service = ServiceTime::Fixed(Duration::from_millis(300));
    let config = Config::builder().slots(1).service(service).build();
    serve(config).await.expect("loopback has free ports")
}

#[tokio::test]
async fn planned_stop_finishes_running_and_queued_requests() {
    let backend = backend().await;
    let entry = FakeEntry::start().await;
    entry.state().config = Some(quick_config(1));
    let mut options = AgentOptions::backend(backend.address());
    options.slots = 1;
    options.seeds = vec![entry.info.address];
    let agent = options.start();
    entry
        .wait_until("a heartbeat", |state| !state.heartbeats.is_empty())
        .await;
    let client = Arc::new(connect_agent(agent.address()).await);
    let requests: Vec<_> = (0..3)
        .map(|id| {
            let (client, request) = (Arc::clone(&client), request(&agent, id));
            tokio::spawn(async move { client.serve(request).await })
        })
        .collect();
    wait_until("a request that runs", || backend.ran().runs.len() == 1).await;

    let drained = agent.drain().await;
    agent.shut_down().await;
    assert_eq!(drained, DrainOutcome::Complete);
    for request in requests {
        let reply = request.await.expect("no panic").expect("a reply");
        assert!(matches!(reply.result, ServeResult::Done(_)), "{reply:?}");
    }
    assert_eq!(backend.ran().runs.len(), 3);
    let state = entry.state();
    let last = state.heartbeats.last().expect("heartbeats were seen");
    assert!(last.leaving);
}

#[tokio::test]
async fn aborted_stop_still_answers_every_request() {
    let backend = backend().await;
    let mut options = AgentOptions::backend(backend.address());
    options.slots = 1;
    let agent = options.start();
    let client = Arc::new(connect_agent(agent.address()).await);
    backend.set_fault(Fault::Silence);
    let requests: Vec<_> = (0..2)
        .map(|id| {
            let (client, request) = (Arc::clone(&client), request(&agent, id));
            tokio::spawn(async move { client.serve(request).await })
        })
        .collect();
    wait_until("a request that runs", || backend.ran().runs.len() == 1).await;
    let (drained, ()) = tokio::join!(agent.drain(), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        agent.cut_off();
    });
    agent.shut_down().await;
    assert_eq!(drained, DrainOutcome::CutOff);
    let mut kinds = Vec::new();
    for request in requests {
        let reply = request.await.expect("no panic").expect("a reply");
        kinds.push(match reply.result {
            ServeResult::Done(_) => "done",
            ServeResult::Refused { .. } => "refused",
            ServeResult::Failed { .. } => "failed",
        });
    }
    kinds.sort_unstable();
    assert_eq!(kinds, ["failed", "refused"]);
    assert_eq!(backend.ran().runs.len(), 1);
}

#[tokio::test]
async fn planned_stop_evicts_runs_and_waits_until_the_eviction_is_recorded() {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, r#"{"duration_ms": 600000}"#);
    let reply = fixture.client.start(run.clone()).await.expect("a reply");
    assert_eq!(reply, StartReply::Started);
    assert_eq!(fixture.agent.drain().await, DrainOutcome::Complete);
    let result = fixture.wait_for_report(run.run).await.result;
    assert!(matches!(result, RunResult::Evicted { .. }), "{result:?}");
}

/// An entry that has not heard of the stop yet may still order a start.
#[tokio::test]
async fn start_ordered_during_a_planned_stop_is_refused() {
    let fixture = WorkerFixture::set_up().await;
    let slow = r#"{"duration_ms": 600000, "checkpoint_ms": 600000}"#;
    let run = fixture.start_request(0, 1, slow);
    fixture.client.start(run).await.expect("a reply");
    let late = fixture.start_request(1, 1, slow);
    let (_, reply) = tokio::join!(fixture.agent.drain(), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        let reply = fixture.client.start(late.clone()).await.expect("a reply");
        fixture.agent.cut_off();
        reply
    });
    assert!(matches!(reply, StartReply::Refused { .. }), "{reply:?}");
    let result = fixture.wait_for_report(late.run).await.result;
    assert!(matches!(result, RunResult::NotStarted { .. }), "{result:?}");
}

#[tokio::test]
async fn aborted_stop_stops_and_reports_runs() {
    let fixture = WorkerFixture::set_up().await;
    let slow = r#"{"duration_ms": 600000, "checkpoint_ms": 600000}"#;
    let run = fixture.start_request(0, 1, slow);
    fixture.client.start(run.clone()).await.expect("a reply");
    let (drained, ()) = tokio::join!(fixture.agent.drain(), async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        fixture.agent.cut_off();
    });
    assert_eq!(drained, DrainOutcome::CutOff);
    assert_eq!(
        fixture.wait_for_report(run.run).await.result,
        RunResult::Stopped
    );
}

//! Batch jobs from submission to completion.

use std::time::Duration;

use agate_core::RunId;
use agate_entry::Running;
use agate_wire::message::{ReportAck, RunAction, RunResult, StartReply, Verdict};
use http::StatusCode;
use serde_json::{Value, json};

use crate::support::{
    Answer, FakeAgent, caller_client, eventually, header, operator_client, start_entry_on,
    start_log, start_worker, take_log_down, value,
};

async fn submit(entry: &Running, tasks: u32) -> Answer {
    let body = json!({
        "job": "2a",
        "team": "board",
        "class": "rebalance",
        "tags": ["season:2026"],
        "tasks": tasks,
        "resources": {"millicores": 1_000, "memory_mib": 512},
        "payload": "high holy days",
    });
    caller_client(entry)
        .post("/v1/jobs", body.to_string())
        .await
}

async fn job(entry: &Running) -> Value {
    value(&caller_client(entry).get("/v1/jobs/2a").await)
}

fn started(agent: &FakeAgent) -> Vec<RunId> {
    agent.lock().starts.iter().map(|start| start.run).collect()
}

async fn runs(agent: &FakeAgent, count: usize) -> Vec<RunId> {
    eventually("runs start", async || started(agent).len() >= count).await;
    started(agent)
}

#[tokio::test]
async fn resubmitted_job_runs_once_to_completion() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    assert_eq!(submit(&entry, 3).await.status(), StatusCode::CREATED);
    assert_eq!(submit(&entry, 3).await.status(), StatusCode::OK);
    for run in runs(&agent, 3).await {
        let ack = agent.report(entry.rpc_address(), run, RunResult::Finished);
        assert_eq!(ack.await, ReportAck::Recorded);
    }
    eventually("the job is finished", async || {
        job(&entry).await["phase"] == "finished"
    })
    .await;
    assert_eq!(started(&agent).len(), 3);
    assert_eq!(agent.lock().starts[0].payload, "high holy days");
}

#[tokio::test]
async fn evicted_run_resumes_once_from_its_checkpoint() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    submit(&entry, 1).await;
    let first = runs(&agent, 1).await[0];
    let evicted = RunResult::Evicted {
        checkpoint: "step 7".to_owned(),
    };
    for _ in 0..2 {
        let ack = agent.report(entry.rpc_address(), first, evicted.clone());
        assert_eq!(ack.await, ReportAck::Recorded);
    }
    let second = runs(&agent, 2).await[1];
    assert_eq!(second.epoch, 2);
    assert_eq!(agent.lock().starts[1].checkpoint.as_deref(), Some("step 7"));
    let late = agent.report(entry.rpc_address(), first, RunResult::Finished);
    assert_eq!(late.await, ReportAck::Recorded);
    assert_eq!(job(&entry).await["finished"], 0);
}

#[tokio::test]
async fn refused_start_is_recorded_and_the_task_rebound() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    agent.lock().start_reply = StartReply::Refused {
        reason: "no room".to_owned(),
    };
    submit(&entry, 1).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    agent.lock().start_reply = StartReply::Started;
    let run = runs(&agent, 1).await[0];
    assert!(run.epoch > 1, "the refused run was not ended");
}

#[tokio::test]
async fn run_bound_by_a_stopped_entry_is_started_by_its_successor() {
    let log = start_log().await;
    let first = start_entry_on(&log, vec![]).await;
    let (agent, heartbeats) = start_worker(&first, 1).await;
    submit(&first, 1).await;
    let run = runs(&agent, 1).await[0];
    first.shutdown().abort();
    first.wait().await.unwrap();
    drop(heartbeats);
    agent.lock().held.clear();
    agent.lock().starts.clear();
    let second = start_entry_on(&log, vec![]).await;
    let _heartbeats = agent
        .join(
            second.rpc_address(),
            agate_core::Host::Worker,
            agent.address,
        )
        .await;
    assert_eq!(runs(&agent, 1).await, [run]);
}

#[tokio::test]
async fn log_outage_rejects_jobs_and_reports_and_renews_no_lease() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    submit(&entry, 1).await;
    let run = runs(&agent, 1).await[0];
    let lease = |agent: &FakeAgent| agent.lock().ack.as_ref().map_or(0, |ack| ack.lease_ms);
    eventually("a lease is granted", async || lease(&agent) > 55_000).await;
    let granted = lease(&agent);
    take_log_down(&log);
    let body = json!({"team": "board", "class": "rebalance", "resources": {"millicores": 1}});
    let refused = caller_client(&entry)
        .post("/v1/jobs", body.to_string())
        .await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!header(&refused, "retry-after").is_empty());
    let ack = agent.report(entry.rpc_address(), run, RunResult::Finished);
    assert_eq!(ack.await, ReportAck::Again);
    eventually("leases shrink", async || lease(&agent) + 1_000 < granted).await;
    log.set_faults(standin_log::Faults::default());
    eventually("the report is recorded", async || {
        let ack = agent.report(entry.rpc_address(), run, RunResult::Finished);
        ack.await == ReportAck::Recorded
    })
    .await;
    assert_eq!(job(&entry).await["phase"], "finished");
}

#[tokio::test]
async fn withdrawn_tag_evicts_its_run_and_resuming_starts_it_once() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    submit(&entry, 1).await;
    let run = runs(&agent, 1).await[0];
    let operator = operator_client(&entry);
    let body = r#"{"tag": "season:2026", "mode": "checkpoint"}"#;
    operator.post("/v1/withdrawals", body).await;
    eventually("the run is evicted", async || {
        let state = agent.lock();
        state
            .stops
            .iter()
            .any(|stop| stop.run == run && stop.kind == RunAction::Evict)
    })
    .await;
    let evicted = RunResult::Evicted {
        checkpoint: "step 7".to_owned(),
    };
    agent.report(entry.rpc_address(), run, evicted).await;
    tokio::time::sleep(Duration::from_millis(1_500)).await;
    assert_eq!(started(&agent), [run], "withdrawn work was restarted");
    operator
        .delete_with("/v1/withdrawals", r#"{"tag": "season:2026"}"#)
        .await;
    assert_eq!(runs(&agent, 2).await.len(), 2);
}

#[tokio::test]
async fn cancelled_job_is_stopped_and_never_starts_again() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_worker(&entry, 1).await;
    submit(&entry, 1).await;
    let run = runs(&agent, 1).await[0];
    caller_client(&entry).delete("/v1/jobs/2a").await;
    eventually("the run is cancelled", async || {
        let state = agent.lock();
        state
            .stops
            .iter()
            .any(|stop| stop.kind == RunAction::Cancel)
    })
    .await;
    agent
        .report(entry.rpc_address(), run, RunResult::Stopped)
        .await;
    eventually("the job is cancelled", async || {
        job(&entry).await["phase"] == "cancelled"
    })
    .await;
    assert_eq!(started(&agent), [run]);
}

#[tokio::test]
async fn job_too_large_for_every_worker_fails_with_the_reason() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (_agent, _heartbeats) = start_worker(&entry, 1).await;
    let body = json!({
        "job": "2a",
        "team": "board",
        "class": "rebalance",
        "resources": {"millicores": 1_000_000},
    });
    caller_client(&entry)
        .post("/v1/jobs", body.to_string())
        .await;
    let mut seen = Value::Null;
    // The scheduler waits until its view of the workers is complete.
    for _ in 0..100 {
        seen = job(&entry).await;
        if seen["phase"] == "failed" {
            break;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
    assert_eq!(seen["impossible"], 1, "{seen}");
    let reason = seen["failures"][0]["reason"].as_str().unwrap();
    assert!(reason.contains("processors"), "{reason}");
}

#[tokio::test]
async fn replaced_holder_is_lost_at_every_entry_and_its_run_waits_for_the_lease() {
    let log = start_log().await;
    let (entry, distant) = (
        start_entry_on(&log, vec![]).await,
        start_entry_on(&log, vec![]).await,
    );
    let (agent, heartbeats) = start_worker(&entry, 1).await;
    submit(&entry, 1).await;
    let run = runs(&agent, 1).await[0];
    let host = agate_core::Host::Worker;
    let _distant_heartbeats = agent.join(distant.rpc_address(), host, agent.address).await;
    let other = FakeAgent::start(2, crate::support::Behaviour::Answer).await;
    agent.lock().successor = Some(other.incarnation);
    let _other_heartbeats = other.join(entry.rpc_address(), host, agent.address).await;
    drop(heartbeats);
    agent.lock().ack = None;
    // The distant entry learns of the loss only from the log.
    eventually("the holder is told", async || {
        let state = agent.lock();
        let ack = state.ack.as_ref();
        ack.is_some_and(|ack| ack.verdict == Verdict::Lost && ack.lease_ms == 0)
    })
    .await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    // The new incarnation has taken over the address, so its starts also arrive at the first agent.
    assert_eq!(
        started(&agent),
        [run],
        "bound again before the lease lapsed"
    );
    assert_eq!(started(&other), []);
    let ended = agent.report(entry.rpc_address(), run, RunResult::Stopped);
    assert_eq!(ended.await, ReportAck::Recorded);
}

/// The entry knew that the agent starts nothing more, but waited until it was forgotten, a minute later,
/// and until its lease had lapsed.
#[tokio::test]
async fn run_bound_while_its_agent_exits_is_placed_elsewhere_at_once() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (leaver, heartbeats) = start_worker(&entry, 1).await;
    log.set_faults(standin_log::Faults {
        slow_ms: 900,
        ..standin_log::Faults::default()
    });
    assert_eq!(submit(&entry, 1).await.status(), StatusCode::CREATED);
    leaver.leave(heartbeats).await;
    log.set_faults(standin_log::Faults::default());
    let (other, _heartbeats) = start_worker(&entry, 2).await;
    let run = runs(&other, 1).await[0];
    assert_eq!(run.epoch, 2, "it was bound to the agent that has exited");
    assert_eq!(started(&leaver), []);
}

/// A run that has started before its agent leaves may still be running, so its task is started again only
/// once the agent is lost.
#[tokio::test]
async fn run_that_an_agent_held_when_it_left_is_not_started_elsewhere() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (leaver, heartbeats) = start_worker(&entry, 1).await;
    submit(&entry, 1).await;
    runs(&leaver, 1).await;
    leaver.leave(heartbeats).await;
    let (other, _heartbeats) = start_worker(&entry, 2).await;
    tokio::time::sleep(Duration::from_secs(8)).await;
    assert_eq!(started(&other), []);
}

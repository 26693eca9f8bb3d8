//! Urgent requests from the caller to the agent and back.

use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, FakeAgent, Http, SilentProxy, caller_client, eventually, header, start_backend,
    start_entry, text, value,
};
use agate_core::{Host, RegionName, Site, ZoneName};
use agate_wire::message::Refusal;
use http::StatusCode;
use rstest::rstest;

const NON_REPEATABLE: &str = "/v1/requests/bench-bind";

#[tokio::test]
async fn answer_reaches_the_caller() {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let answer = caller_client(&entry).post(NON_REPEATABLE, "row 4").await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(&answer, "agate-outcome"), "done");
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(agent.lock().ran.len(), 1);
}

#[tokio::test]
async fn request_without_a_backend_server_is_not_run_and_gets_a_retry_delay() {
    let entry = start_entry().await;
    let answer = caller_client(&entry).post(NON_REPEATABLE, "").await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&answer, "agate-outcome"), "not-run");
    assert!(!header(&answer, "retry-after").is_empty());
}

#[rstest]
#[case::wrong_id(Behaviour::WrongId)]
#[case::truncated(Behaviour::Truncated)]
#[tokio::test]
async fn invalid_reply_is_dropped_and_the_status_query_returns_the_answer(
    #[case] behaviour: Behaviour,
) {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_backend(&entry, 1, behaviour).await;
    let answer = caller_client(&entry).post(NON_REPEATABLE, "row 4").await;
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(header(&answer, "agate-outcome"), "done");
    let state = agent.lock();
    assert_eq!(state.ran.len(), 1);
    assert!(state.status_queries >= 1, "the status was not queried");
}

#[tokio::test]
async fn refused_request_runs_at_another_agent() {
    let entry = start_entry().await;
    let (full, _full_heartbeats) = start_backend(&entry, 1, Behaviour::Refuse(Refusal::Full)).await;
    let (free, _free_heartbeats) = start_backend(&entry, 2, Behaviour::Answer).await;
    let mut refusals = 0;
    for _ in 0..8 {
        let answer = caller_client(&entry).post(NON_REPEATABLE, "x").await;
        match header(&answer, "agate-outcome") {
            "done" => assert_eq!(text(&answer), "echo:x"),
            "not-run" => refusals += 1,
            other => panic!("unexpected outcome {other}"),
        }
    }
    let done = 8 - refusals;
    assert!(
        full.lock().attempts > 0,
        "the full agent received no attempt"
    );
    assert!(
        full.lock().attempts > refusals,
        "no refused request was retried"
    );
    assert_eq!(free.lock().ran.len(), done);
}

#[tokio::test]
async fn request_refused_by_every_agent_is_not_run_and_gets_the_agents_retry_delay() {
    let entry = start_entry().await;
    let (_agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Refuse(Refusal::Full)).await;
    let answer = caller_client(&entry).post(NON_REPEATABLE, "x").await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&answer, "agate-outcome"), "not-run");
    assert!(header(&answer, "agate-retry-ms").parse::<u64>().unwrap() >= 700);
}

#[tokio::test]
async fn request_with_a_lost_answer_is_unknown_and_not_sent_elsewhere() {
    let entry = start_entry().await;
    let agent = FakeAgent::start(1, Behaviour::Slow(Duration::from_mins(1))).await;
    let proxy = SilentProxy::start(agent.address).await;
    let heartbeats = agent
        .join(entry.rpc_address(), Host::Backend, proxy.address)
        .await;
    let caller = caller_client(&entry).with("agate-deadline-ms", "1500");
    let request = tokio::spawn(async move { caller.post(NON_REPEATABLE, "x").await });
    eventually("the request runs", async || agent.lock().ran.len() == 1).await;
    let (other, _heartbeats) = start_backend(&entry, 2, Behaviour::Answer).await;
    drop(heartbeats);
    proxy.cut();
    let answer = request.await.unwrap();
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(header(&answer, "agate-outcome"), "unknown");
    assert!(!header(&answer, "agate-ticket").is_empty());
    assert_eq!(other.lock().attempts, 0);
}

#[tokio::test]
async fn silent_connection_is_replaced_and_the_status_queried_on_the_new_one() {
    let entry = start_entry().await;
    let agent = FakeAgent::start(1, Behaviour::Slow(Duration::from_millis(300))).await;
    let proxy = SilentProxy::start(agent.address).await;
    let _heartbeats = agent
        .join(entry.rpc_address(), Host::Backend, proxy.address)
        .await;
    let caller = caller_client(&entry).with("agate-deadline-ms", "20000");
    let request = tokio::spawn(async move { caller.post(NON_REPEATABLE, "row 4").await });
    eventually("the request runs", async || agent.lock().ran.len() == 1).await;
    let muted = Instant::now();
    proxy.mute();
    let answer = request.await.unwrap();
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(agent.lock().ran.len(), 1);
    assert!(agent.lock().status_queries >= 1);
    assert!(proxy.opened() >= 2);
    assert!(muted.elapsed() < Duration::from_secs(10));
}

#[tokio::test]
async fn disconnected_caller_does_not_cancel_its_request() {
    let entry = start_entry().await;
    let (agent, _heartbeats) =
        start_backend(&entry, 1, Behaviour::Slow(Duration::from_millis(300))).await;
    let caller = caller_client(&entry);
    let ticket = caller
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = value(&ticket)["ticket"].as_str().unwrap().to_owned();
    let sender = caller.clone().with("agate-ticket", &ticket);
    let request = tokio::spawn(async move { sender.post(NON_REPEATABLE, "row 4").await });
    eventually("the request arrives", async || agent.lock().attempts == 1).await;
    request.abort();
    let monitor = Http::new(entry.operator_address());
    let line = r#"agate_entry_requests_total{class="bench-bind",outcome="done"} 1"#;
    eventually("the entry follows the request to its end", async || {
        text(&monitor.get("/metrics").await).contains(line)
    })
    .await;
    let path = format!("/v1/requests/{ticket}");
    let fate = caller.get(&path).await;
    assert_eq!(header(&fate, "agate-outcome"), "done");
    assert_eq!(text(&fate), "echo:row 4");
    assert_eq!(agent.lock().ran.len(), 1);
}

#[tokio::test]
async fn tombstoned_ticket_never_runs() {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let caller = caller_client(&entry);
    let issued = caller
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    assert_eq!(issued.status(), StatusCode::CREATED);
    let ticket = value(&issued)["ticket"].as_str().unwrap().to_owned();
    let path = format!("/v1/requests/{ticket}");
    assert_eq!(value(&caller.get(&path).await)["fate"], "pending");
    let withheld = caller.delete(&path).await;
    assert_eq!(header(&withheld, "agate-outcome"), "not-run");
    let late = caller
        .with("agate-ticket", &ticket)
        .post(NON_REPEATABLE, "x")
        .await;
    assert_eq!(header(&late, "agate-outcome"), "not-run");
    assert!(agent.lock().ran.is_empty());
}

#[tokio::test]
async fn ticket_reaches_the_same_incarnation_through_another_entry() {
    let (first, second) = (start_entry().await, start_entry().await);
    let (agent, _one) = start_backend(&first, 1, Behaviour::Answer).await;
    let (other, _two) = start_backend(&second, 2, Behaviour::Answer).await;
    let issued = caller_client(&first)
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = value(&issued)["ticket"].as_str().unwrap().to_owned();
    for entry in [&first, &second] {
        let caller = caller_client(entry).with("agate-ticket", &ticket);
        let answer = caller.post(NON_REPEATABLE, "row 4").await;
        assert_eq!(text(&answer), "echo:row 4");
    }
    assert_eq!(agent.lock().ran.len(), 1);
    assert_eq!(other.lock().attempts, 0);
}

#[tokio::test]
async fn ticket_for_a_gone_incarnation_is_unknown() {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Refuse(Refusal::Gone)).await;
    let issued = caller_client(&entry)
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = value(&issued)["ticket"].as_str().unwrap().to_owned();
    let caller = caller_client(&entry).with("agate-ticket", &ticket);
    let answer = caller.post(NON_REPEATABLE, "x").await;
    assert_eq!(header(&answer, "agate-outcome"), "unknown");
    assert!(agent.lock().ran.is_empty());
}

#[tokio::test]
async fn request_without_an_answer_from_the_backend_server_is_unknown() {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Fail).await;
    let answer = caller_client(&entry).post(NON_REPEATABLE, "x").await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(header(&answer, "agate-outcome"), "unknown");
    assert_eq!(agent.lock().attempts, 1);
}

#[tokio::test]
async fn agent_behind_a_broken_connection_gets_no_new_work() {
    let entry = start_entry().await;
    let cut_off = FakeAgent::start(1, Behaviour::Answer).await;
    let proxy = SilentProxy::start(cut_off.address).await;
    let _cut_off_heartbeats = cut_off
        .join(entry.rpc_address(), Host::Backend, proxy.address)
        .await;
    let (_agent, _heartbeats) = start_backend(&entry, 2, Behaviour::Answer).await;
    proxy.cut();
    let mut done = 0;
    for _ in 0..40 {
        let answer = caller_client(&entry).post(NON_REPEATABLE, "x").await;
        done += usize::from(header(&answer, "agate-outcome") == "done");
    }
    assert!(done >= 39, "{done} of 40 requests were answered");
}

#[tokio::test]
async fn leaving_agent_gets_no_new_work() {
    let entry = start_entry().await;
    let (leaver, _one) = start_backend(&entry, 1, Behaviour::Answer).await;
    let (other, _two) = start_backend(&entry, 2, Behaviour::Answer).await;
    leaver.lock().leaving = true;
    leaver.lock().ack = None;
    // The second acknowledgement from now on belongs to a heartbeat sent after the change.
    for _ in 0..2 {
        eventually("a heartbeat is answered", async || {
            leaver.lock().ack.take().is_some()
        })
        .await;
    }
    let before = leaver.lock().attempts;
    for _ in 0..20 {
        let answer = caller_client(&entry).post(NON_REPEATABLE, "x").await;
        assert_eq!(header(&answer, "agate-outcome"), "done");
    }
    assert_eq!(leaver.lock().attempts, before);
    assert_eq!(other.lock().ran.len(), 20);
}

#[tokio::test]
async fn agent_in_another_region_gets_the_remaining_time_minus_the_round_trip() {
    let entry = start_entry().await;
    let agent = FakeAgent::start(1, Behaviour::Answer).await;
    let distant = Site {
        region: RegionName::new("erongo").unwrap(),
        zone: ZoneName::new("erongo-1").unwrap(),
    };
    let _heartbeats = agent
        .join_from(distant, entry.rpc_address(), Host::Backend, agent.address)
        .await;
    let caller = caller_client(&entry).with("agate-deadline-ms", "5000");
    assert_eq!(text(&caller.post(NON_REPEATABLE, "x").await), "echo:x");
    let budget = agent.lock().budgets[0];
    assert!((1_000..=4_984).contains(&budget), "{budget} ms");
}

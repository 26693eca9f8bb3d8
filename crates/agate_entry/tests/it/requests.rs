//! Urgent requests from a caller to an agent and back.

use std::time::{Duration, Instant};

use crate::support::{
    Behaviour, FakeAgent, Http, SilentProxy, backend, callers, entry, eventually, header, text,
    value,
};
use agate_core::{Host, RegionName, Site, ZoneName};
use agate_wire::message::Refusal;
use http::StatusCode;
use rstest::rstest;

const ONCE: &str = "/v1/requests/bench-bind";

#[tokio::test]
async fn whole_answer_reaches_the_caller() {
    let entry = entry().await;
    let (agent, _beats) = backend(&entry, 1, Behaviour::Answer).await;
    let answer = callers(&entry).post(ONCE, "row 4").await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(header(&answer, "agate-outcome"), "done");
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(agent.lock().ran.len(), 1);
}

#[tokio::test]
async fn no_backend_server_is_not_run_with_a_time_to_come_back() {
    let entry = entry().await;
    let answer = callers(&entry).post(ONCE, "").await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&answer, "agate-outcome"), "not-run");
    assert!(!header(&answer, "retry-after").is_empty());
}

#[rstest]
#[case::crossed(Behaviour::Crossed)]
#[case::cut(Behaviour::Cut)]
#[tokio::test]
async fn wrong_reply_is_never_delivered_and_the_fate_gives_the_answer(
    #[case] behaviour: Behaviour,
) {
    let entry = entry().await;
    let (agent, _beats) = backend(&entry, 1, behaviour).await;
    let answer = callers(&entry).post(ONCE, "row 4").await;
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(header(&answer, "agate-outcome"), "done");
    let state = agent.lock();
    assert_eq!(state.ran.len(), 1);
    assert!(state.fates >= 1, "the fate was not asked");
}

#[tokio::test]
async fn refused_request_runs_at_another_agent() {
    let entry = entry().await;
    let (full, _full_beats) = backend(&entry, 1, Behaviour::Refuse(Refusal::Full)).await;
    let (free, _free_beats) = backend(&entry, 2, Behaviour::Answer).await;
    let mut refusals = 0;
    for _ in 0..8 {
        let answer = callers(&entry).post(ONCE, "x").await;
        match header(&answer, "agate-outcome") {
            "done" => assert_eq!(text(&answer), "echo:x"),
            "not-run" => refusals += 1,
            other => panic!("unexpected outcome {other}"),
        }
    }
    let done = 8 - refusals;
    assert!(full.lock().attempts > 0, "the full agent was never asked");
    assert!(full.lock().attempts > refusals, "no refusal was repeated");
    assert_eq!(free.lock().ran.len(), done);
}

#[tokio::test]
async fn refusal_everywhere_is_not_run_with_the_agents_time() {
    let entry = entry().await;
    let (_agent, _beats) = backend(&entry, 1, Behaviour::Refuse(Refusal::Full)).await;
    let answer = callers(&entry).post(ONCE, "x").await;
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(header(&answer, "agate-outcome"), "not-run");
    assert!(header(&answer, "agate-retry-ms").parse::<u64>().unwrap() >= 700);
}

#[tokio::test]
async fn lost_answer_is_unknown_and_never_sent_elsewhere() {
    let entry = entry().await;
    let agent = FakeAgent::start(1, Behaviour::Slow(Duration::from_mins(1))).await;
    let proxy = SilentProxy::start(agent.address).await;
    let beats = agent
        .join(entry.rpc_address(), Host::Backend, proxy.address)
        .await;
    let caller = callers(&entry).with("agate-deadline-ms", "1500");
    let request = tokio::spawn(async move { caller.post(ONCE, "x").await });
    eventually("the request runs", async || agent.lock().ran.len() == 1).await;
    let (other, _beats) = backend(&entry, 2, Behaviour::Answer).await;
    drop(beats);
    proxy.cut();
    let answer = request.await.unwrap();
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(header(&answer, "agate-outcome"), "unknown");
    assert!(!header(&answer, "agate-ticket").is_empty());
    assert_eq!(other.lock().attempts, 0);
}

#[tokio::test]
async fn silent_connection_is_replaced_and_the_fate_asked_on_the_new_one() {
    let entry = entry().await;
    let agent = FakeAgent::start(1, Behaviour::Slow(Duration::from_millis(300))).await;
    let proxy = SilentProxy::start(agent.address).await;
    let _beats = agent
        .join(entry.rpc_address(), Host::Backend, proxy.address)
        .await;
    let caller = callers(&entry).with("agate-deadline-ms", "20000");
    let request = tokio::spawn(async move { caller.post(ONCE, "row 4").await });
    eventually("the request runs", async || agent.lock().ran.len() == 1).await;
    let muted = Instant::now();
    proxy.mute();
    let answer = request.await.unwrap();
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(agent.lock().ran.len(), 1);
    assert!(agent.lock().fates >= 1);
    assert!(proxy.opened() >= 2);
    assert!(muted.elapsed() < Duration::from_secs(10));
}

#[tokio::test]
async fn caller_that_goes_away_cancels_nothing() {
    let entry = entry().await;
    let (agent, _beats) = backend(&entry, 1, Behaviour::Slow(Duration::from_millis(300))).await;
    let caller = callers(&entry);
    let ticket = caller
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = value(&ticket)["ticket"].as_str().unwrap().to_owned();
    let sender = caller.clone().with("agate-ticket", &ticket);
    let request = tokio::spawn(async move { sender.post(ONCE, "row 4").await });
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
async fn withheld_ticket_never_runs() {
    let entry = entry().await;
    let (agent, _beats) = backend(&entry, 1, Behaviour::Answer).await;
    let caller = callers(&entry);
    let issued = caller
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    assert_eq!(issued.status(), StatusCode::CREATED);
    let ticket = value(&issued)["ticket"].as_str().unwrap().to_owned();
    let path = format!("/v1/requests/{ticket}");
    assert_eq!(value(&caller.get(&path).await)["fate"], "pending");
    let withheld = caller.delete(&path).await;
    assert_eq!(header(&withheld, "agate-outcome"), "not-run");
    let late = caller.with("agate-ticket", &ticket).post(ONCE, "x").await;
    assert_eq!(header(&late, "agate-outcome"), "not-run");
    assert!(agent.lock().ran.is_empty());
}

#[tokio::test]
async fn ticket_reaches_the_same_incarnation_through_another_entry() {
    let (first, second) = (entry().await, entry().await);
    let (agent, _one) = backend(&first, 1, Behaviour::Answer).await;
    let (other, _two) = backend(&second, 2, Behaviour::Answer).await;
    let issued = callers(&first)
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = value(&issued)["ticket"].as_str().unwrap().to_owned();
    for entry in [&first, &second] {
        let caller = callers(entry).with("agate-ticket", &ticket);
        let answer = caller.post(ONCE, "row 4").await;
        assert_eq!(text(&answer), "echo:row 4");
    }
    assert_eq!(agent.lock().ran.len(), 1);
    assert_eq!(other.lock().attempts, 0);
}

#[tokio::test]
async fn gone_incarnation_is_unknown_to_a_ticket_that_may_have_been_used() {
    let entry = entry().await;
    let (agent, _beats) = backend(&entry, 1, Behaviour::Refuse(Refusal::Gone)).await;
    let issued = callers(&entry)
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = value(&issued)["ticket"].as_str().unwrap().to_owned();
    let caller = callers(&entry).with("agate-ticket", &ticket);
    let answer = caller.post(ONCE, "x").await;
    assert_eq!(header(&answer, "agate-outcome"), "unknown");
    assert!(agent.lock().ran.is_empty());
}

#[tokio::test]
async fn request_whose_answer_the_backend_server_lost_is_unknown() {
    let entry = entry().await;
    let (agent, _beats) = backend(&entry, 1, Behaviour::Fail).await;
    let answer = callers(&entry).post(ONCE, "x").await;
    assert_eq!(answer.status(), StatusCode::BAD_GATEWAY);
    assert_eq!(header(&answer, "agate-outcome"), "unknown");
    assert_eq!(agent.lock().attempts, 1);
}

#[tokio::test]
async fn agent_behind_a_broken_connection_gets_no_new_work() {
    let entry = entry().await;
    let cut_off = FakeAgent::start(1, Behaviour::Answer).await;
    let proxy = SilentProxy::start(cut_off.address).await;
    let _cut_off_beats = cut_off
        .join(entry.rpc_address(), Host::Backend, proxy.address)
        .await;
    let (_agent, _beats) = backend(&entry, 2, Behaviour::Answer).await;
    proxy.cut();
    let mut done = 0;
    for _ in 0..40 {
        let answer = callers(&entry).post(ONCE, "x").await;
        done += usize::from(header(&answer, "agate-outcome") == "done");
    }
    assert!(done >= 39, "{done} of 40 requests were answered");
}

#[tokio::test]
async fn leaving_agent_gets_no_new_work() {
    let entry = entry().await;
    let (leaver, _one) = backend(&entry, 1, Behaviour::Answer).await;
    let (other, _two) = backend(&entry, 2, Behaviour::Answer).await;
    leaver.lock().leaving = true;
    leaver.lock().ack = None;
    // The second answer from now on is to a heartbeat that was made after the change.
    for _ in 0..2 {
        eventually("a heartbeat is answered", async || {
            leaver.lock().ack.take().is_some()
        })
        .await;
    }
    let before = leaver.lock().attempts;
    for _ in 0..20 {
        let answer = callers(&entry).post(ONCE, "x").await;
        assert_eq!(header(&answer, "agate-outcome"), "done");
    }
    assert_eq!(leaver.lock().attempts, before);
    assert_eq!(other.lock().ran.len(), 20);
}

#[tokio::test]
async fn agent_in_another_region_gets_the_time_left_less_the_way_there_and_back() {
    let entry = entry().await;
    let agent = FakeAgent::start(1, Behaviour::Answer).await;
    let distant = Site {
        region: RegionName::new("erongo").unwrap(),
        zone: ZoneName::new("erongo-1").unwrap(),
    };
    let _beats = agent
        .join_from(distant, entry.rpc_address(), Host::Backend, agent.address)
        .await;
    let caller = callers(&entry).with("agate-deadline-ms", "5000");
    assert_eq!(text(&caller.post(ONCE, "x").await), "echo:x");
    let budget = agent.lock().budgets[0];
    assert!((1_000..=4_984).contains(&budget), "{budget} ms");
}

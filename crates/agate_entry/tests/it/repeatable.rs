//! Repeatable requests: retries and hedges.

use std::time::Duration;

use agate_entry::Running;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use crate::support::{
    Behaviour, FakeAgent, Heartbeats, caller_client, eventually, header, operator_client,
    start_backend, start_entry_on, start_log, take_log_down, text, value,
};

const REPEATABLE: &str = "/v1/requests/seat-check";

/// Starts an entry under a preset in which `seat-check` is repeatable and hedging is off.
async fn start_without_hedges(log: &standin_log::Handle) -> Running {
    start_hedging(log, 100).await
}

/// Like [`start_without_hedges`], with a hedge after the latency at the `percent` percentile.
async fn start_hedging(log: &standin_log::Handle, percent: u32) -> Running {
    let entry = start_entry_on(log, vec![]).await;
    let operator = operator_client(&entry);
    let preset = json!({
        "kind": "ordinary",
        "classes": {"seat-check": {"repeatable": true}},
        "retries": {"budget_percent": 20, "attempts": 3, "hedge_percent": percent},
    });
    let body = json!({"name": "ordinary", "preset": preset});
    operator.post("/v1/presets", body.to_string()).await;
    let body = json!({"name": "ordinary", "expected": "0+0"});
    let switched = operator.post("/v1/presets/switch", body.to_string()).await;
    assert_eq!(switched.status(), StatusCode::OK);
    entry
}

async fn start_two(
    entry: &Running,
    first: Behaviour,
    second: Behaviour,
) -> [(FakeAgent, Heartbeats); 2] {
    [
        start_backend(entry, 1, first).await,
        start_backend(entry, 2, second).await,
    ]
}

#[tokio::test]
async fn failed_attempt_is_retried_at_another_agent_during_a_log_outage() {
    let log = start_log().await;
    let entry = start_without_hedges(&log).await;
    let [(bad, _one), (good, _two)] = start_two(&entry, Behaviour::Fail, Behaviour::Answer).await;
    take_log_down(&log);
    eventually("the failing agent is tried", async || {
        let answer = caller_client(&entry).post(REPEATABLE, "row 4").await;
        if answer.status() == StatusCode::OK {
            assert_eq!(text(&answer), "echo:row 4");
        }
        bad.lock().attempts > 0 && !good.lock().ran.is_empty()
    })
    .await;
    assert!(
        good.lock().ran.iter().all(Option::is_none),
        "a key was sent"
    );
}

#[tokio::test]
async fn retry_budget_limits_attempts_when_every_agent_fails() {
    let log = start_log().await;
    let entry = start_without_hedges(&log).await;
    let [(first, _one), (second, _two)] = start_two(&entry, Behaviour::Fail, Behaviour::Fail).await;
    let requests = 100;
    for _ in 0..requests {
        let answer = caller_client(&entry).post(REPEATABLE, "x").await;
        assert_ne!(header(&answer, "agate-outcome"), "done");
        assert!(!header(&answer, "retry-after").is_empty());
    }
    let attempts = first.lock().attempts + second.lock().attempts;
    // The budget gives a fifth of an attempt per request, and each caller starts with one.
    assert!(attempts <= requests + 21, "{attempts} attempts");
}

#[tokio::test]
async fn slow_request_ends_as_unknown_at_its_deadline() {
    let log = start_log().await;
    let entry = start_without_hedges(&log).await;
    let slow = Behaviour::Slow(Duration::from_secs(30));
    let [_first, _second] = start_two(&entry, slow, slow).await;
    let began = std::time::Instant::now();
    let caller = caller_client(&entry).with("agate-deadline-ms", "300");
    let answer = caller.post(REPEATABLE, "x").await;
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(value(&answer)["error"], "unknown");
    assert!(began.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn attempt_is_not_retried_without_time_for_a_typical_answer() {
    let log = start_log().await;
    let entry = start_without_hedges(&log).await;
    let slow = Behaviour::Slow(Duration::from_millis(600));
    let [(first, _one), (second, _two)] = start_two(&entry, slow, slow).await;
    assert_eq!(
        caller_client(&entry).post(REPEATABLE, "x").await.status(),
        StatusCode::OK
    );
    first.lock().behaviour = Behaviour::Fail;
    second.lock().behaviour = Behaviour::Fail;
    let caller = caller_client(&entry).with("agate-deadline-ms", "400");
    let answer = caller.post(REPEATABLE, "x").await;
    assert_ne!(header(&answer, "agate-outcome"), "done");
    let attempts = first.lock().attempts + second.lock().attempts;
    assert_eq!(attempts, 2, "a retry was sent without time for an answer");
}

#[tokio::test]
async fn slow_attempt_is_hedged_at_another_agent() {
    let log = start_log().await;
    let entry = start_hedging(&log, 90).await;
    let [(slow, _one), (_quick, _two)] =
        start_two(&entry, Behaviour::Answer, Behaviour::Answer).await;
    for _ in 0..20 {
        assert_eq!(
            caller_client(&entry).post(REPEATABLE, "x").await.status(),
            StatusCode::OK
        );
    }
    let before = {
        let mut state = slow.lock();
        state.behaviour = Behaviour::Slow(Duration::from_secs(30));
        state.attempts
    };
    let caller = caller_client(&entry).with("agate-deadline-ms", "10000");
    eventually("the slow agent is tried", async || {
        let answer = caller.post(REPEATABLE, "row 4").await;
        assert_eq!(text(&answer), "echo:row 4");
        slow.lock().attempts > before
    })
    .await;
}

#[rstest]
#[case::off(100, 0)]
// The budget gives a fifth of an attempt per request, and each caller starts with one.
#[case::within_the_budget(50, 8)]
#[tokio::test]
async fn hedges_stay_within_their_budget(#[case] percent: u32, #[case] extra: usize) {
    let log = start_log().await;
    let entry = start_hedging(&log, percent).await;
    let [(first, _one), (second, _two)] =
        start_two(&entry, Behaviour::Answer, Behaviour::Answer).await;
    let requests = 35;
    for sent in 0..requests {
        if sent == 5 {
            // From here on, every answer takes longer than the recorded latencies.
            let slow = Behaviour::Slow(Duration::from_millis(100));
            first.lock().behaviour = slow;
            second.lock().behaviour = slow;
        }
        assert_eq!(
            caller_client(&entry).post(REPEATABLE, "x").await.status(),
            StatusCode::OK
        );
    }
    let attempts = first.lock().attempts + second.lock().attempts;
    assert!(attempts <= requests + extra, "{attempts} attempts");
}

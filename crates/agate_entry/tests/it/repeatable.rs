//! Requests that may be repeated.

use std::time::Duration;

use agate_entry::Running;
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use crate::support::{
    Behaviour, FakeAgent, Heartbeats, backend, callers, entry_on, eventually, header, log,
    operators, outage, text, value,
};

const MANY: &str = "/v1/requests/seat-check";

/// Starts an entry on a log under a preset in which `seat-check` may be repeated.
async fn repeatable(log: &standin_log::Handle) -> Running {
    hedging(log, 100).await
}

/// Like [`repeatable`], with a second attempt after the time in which `percent` of answers arrive.
async fn hedging(log: &standin_log::Handle, percent: u32) -> Running {
    let entry = entry_on(log, vec![]).await;
    let operator = operators(&entry);
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

async fn two(entry: &Running, first: Behaviour, second: Behaviour) -> [(FakeAgent, Heartbeats); 2] {
    [
        backend(entry, 1, first).await,
        backend(entry, 2, second).await,
    ]
}

#[tokio::test]
async fn failed_attempt_is_repeated_at_another_agent_even_in_an_outage() {
    let log = log().await;
    let entry = repeatable(&log).await;
    let [(bad, _one), (good, _two)] = two(&entry, Behaviour::Fail, Behaviour::Answer).await;
    outage(&log);
    eventually("the failing agent is tried", async || {
        let answer = callers(&entry).post(MANY, "row 4").await;
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
async fn outage_of_every_agent_costs_few_extra_attempts() {
    let log = log().await;
    let entry = repeatable(&log).await;
    let [(first, _one), (second, _two)] = two(&entry, Behaviour::Fail, Behaviour::Fail).await;
    let requests = 100;
    for _ in 0..requests {
        let answer = callers(&entry).post(MANY, "x").await;
        assert_ne!(header(&answer, "agate-outcome"), "done");
        assert!(!header(&answer, "retry-after").is_empty());
    }
    let attempts = first.lock().attempts + second.lock().attempts;
    // A fifth of an attempt for each request, and the one that a caller starts with.
    assert!(attempts <= requests + 21, "{attempts} attempts");
}

#[tokio::test]
async fn answer_that_comes_too_late_ends_the_request_at_its_deadline() {
    let log = log().await;
    let entry = repeatable(&log).await;
    let slow = Behaviour::Slow(Duration::from_secs(30));
    let [_first, _second] = two(&entry, slow, slow).await;
    let began = std::time::Instant::now();
    let caller = callers(&entry).with("agate-deadline-ms", "300");
    let answer = caller.post(MANY, "x").await;
    assert_eq!(answer.status(), StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(value(&answer)["error"], "unknown");
    assert!(began.elapsed() < Duration::from_secs(5));
}

#[tokio::test]
async fn attempt_is_not_repeated_without_time_for_a_usual_answer() {
    let log = log().await;
    let entry = repeatable(&log).await;
    let slow = Behaviour::Slow(Duration::from_millis(600));
    let [(first, _one), (second, _two)] = two(&entry, slow, slow).await;
    assert_eq!(
        callers(&entry).post(MANY, "x").await.status(),
        StatusCode::OK
    );
    first.lock().behaviour = Behaviour::Fail;
    second.lock().behaviour = Behaviour::Fail;
    let caller = callers(&entry).with("agate-deadline-ms", "400");
    let answer = caller.post(MANY, "x").await;
    assert_ne!(header(&answer, "agate-outcome"), "done");
    let attempts = first.lock().attempts + second.lock().attempts;
    assert_eq!(
        attempts, 2,
        "a repeat was sent that can't be answered in time"
    );
}

#[tokio::test]
async fn slow_attempt_is_overtaken_by_one_at_another_agent() {
    let log = log().await;
    let entry = hedging(&log, 90).await;
    let [(slow, _one), (_quick, _two)] = two(&entry, Behaviour::Answer, Behaviour::Answer).await;
    for _ in 0..20 {
        assert_eq!(
            callers(&entry).post(MANY, "x").await.status(),
            StatusCode::OK
        );
    }
    let before = {
        let mut state = slow.lock();
        state.behaviour = Behaviour::Slow(Duration::from_secs(30));
        state.attempts
    };
    let caller = callers(&entry).with("agate-deadline-ms", "10000");
    eventually("the slow agent is tried", async || {
        let answer = caller.post(MANY, "row 4").await;
        assert_eq!(text(&answer), "echo:row 4");
        slow.lock().attempts > before
    })
    .await;
}

#[rstest]
#[case::off(100, 0)]
// A fifth of an attempt for each request, and the one that a caller starts with.
#[case::within_the_budget(50, 8)]
#[tokio::test]
async fn hedges_stay_within_their_budget(#[case] percent: u32, #[case] extra: usize) {
    let log = log().await;
    let entry = hedging(&log, percent).await;
    let [(first, _one), (second, _two)] = two(&entry, Behaviour::Answer, Behaviour::Answer).await;
    let requests = 35;
    for sent in 0..requests {
        if sent == 5 {
            // From here on every answer takes longer than was learned.
            let slow = Behaviour::Slow(Duration::from_millis(100));
            first.lock().behaviour = slow;
            second.lock().behaviour = slow;
        }
        assert_eq!(
            callers(&entry).post(MANY, "x").await.status(),
            StatusCode::OK
        );
    }
    let attempts = first.lock().attempts + second.lock().attempts;
    assert!(attempts <= requests + extra, "{attempts} attempts");
}

//! Bare idempotency keys, bound through the log.

use agate_core::{Key, clock};
use http::StatusCode;

use crate::support::{
    Behaviour, backend, callers, entry_on, eventually, header, log, outage, text,
};

const ONCE: &str = "/v1/requests/bench-bind";

fn key() -> Key {
    Key::from_parts(clock::wall_millis(), rand::random())
}

#[tokio::test]
async fn retry_through_another_entry_reaches_the_same_incarnation() {
    let log = log().await;
    let (first, second) = (entry_on(&log, vec![]).await, entry_on(&log, vec![]).await);
    let (agent, _one) = backend(&first, 1, Behaviour::Answer).await;
    let (other, _two) = backend(&second, 2, Behaviour::Answer).await;
    let key = key();
    let sent = callers(&first).with("idempotency-key", key.to_string());
    let answer = sent.post(ONCE, "row 4").await;
    assert_eq!(text(&answer), "echo:row 4");
    let again = callers(&second).with("idempotency-key", key.to_string());
    let answer = again.post(ONCE, "row 4").await;
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(agent.lock().ran, [Some(key)]);
    assert_eq!(other.lock().attempts, 0);
}

#[tokio::test]
async fn two_entries_at_once_run_a_key_once() {
    let log = log().await;
    let (first, second) = (entry_on(&log, vec![]).await, entry_on(&log, vec![]).await);
    let (one, _one) = backend(&first, 1, Behaviour::Answer).await;
    let (two, _two) = backend(&second, 2, Behaviour::Answer).await;
    for _ in 0..10 {
        let key = key();
        let left = callers(&first).with("idempotency-key", key.to_string());
        let right = callers(&second).with("idempotency-key", key.to_string());
        let (left, right) = tokio::join!(left.post(ONCE, "x"), right.post(ONCE, "x"));
        assert_eq!((text(&left), text(&right)), ("echo:x", "echo:x"));
        let ran = |agent: &crate::support::FakeAgent| {
            let state = agent.lock();
            state.ran.iter().filter(|ran| **ran == Some(key)).count()
        };
        assert_eq!(ran(&one) + ran(&two), 1);
    }
}

#[tokio::test]
async fn outage_refuses_bare_keys_and_leaves_tickets_and_other_requests_alone() {
    let log = log().await;
    let entry = entry_on(&log, vec![]).await;
    let (agent, _beats) = backend(&entry, 1, Behaviour::Answer).await;
    outage(&log);
    let keyed = callers(&entry).with("agate-deadline-ms", "15000");
    eventually("bare keys are refused", async || {
        let answer = keyed.clone().with("idempotency-key", key().to_string());
        let answer = answer.post(ONCE, "x").await;
        answer.status() != StatusCode::OK && !header(&answer, "retry-after").is_empty()
    })
    .await;
    let ran = agent.lock().ran.len();
    let refused = keyed.clone().with("idempotency-key", key().to_string());
    let refused = refused.post(ONCE, "x").await;
    assert_eq!(header(&refused, "agate-outcome"), "unknown");
    assert_eq!(agent.lock().ran.len(), ran);
    let plain = callers(&entry).post(ONCE, "x").await;
    assert_eq!(header(&plain, "agate-outcome"), "done");
    let issued = callers(&entry)
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = crate::support::value(&issued)["ticket"].clone();
    let ticketed = callers(&entry).with("agate-ticket", ticket.as_str().unwrap());
    let ticketed = ticketed.post(ONCE, "x").await;
    assert_eq!(header(&ticketed, "agate-outcome"), "done");
}

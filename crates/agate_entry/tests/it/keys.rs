//! Idempotency keys sent without a ticket, bound through the log.

use agate_core::{Key, clock};
use http::StatusCode;

use crate::support::{
    Behaviour, caller_client, eventually, header, start_backend, start_entry_on, start_log,
    take_log_down, text,
};

const NON_REPEATABLE: &str = "/v1/requests/bench-bind";

fn key() -> Key {
    Key::from_parts(clock::wall_millis(), rand::random())
}

#[tokio::test]
async fn retry_through_another_entry_reaches_the_same_incarnation() {
    let log = start_log().await;
    let (first, second) = (
        start_entry_on(&log, vec![]).await,
        start_entry_on(&log, vec![]).await,
    );
    let (agent, _one) = start_backend(&first, 1, Behaviour::Answer).await;
    let (other, _two) = start_backend(&second, 2, Behaviour::Answer).await;
    let key = key();
    let sent = caller_client(&first).with("idempotency-key", key.to_string());
    let answer = sent.post(NON_REPEATABLE, "row 4").await;
    assert_eq!(text(&answer), "echo:row 4");
    let again = caller_client(&second).with("idempotency-key", key.to_string());
    let answer = again.post(NON_REPEATABLE, "row 4").await;
    assert_eq!(text(&answer), "echo:row 4");
    assert_eq!(agent.lock().ran, [Some(key)]);
    assert_eq!(other.lock().attempts, 0);
}

#[tokio::test]
async fn two_entries_at_once_run_a_key_once() {
    let log = start_log().await;
    let (first, second) = (
        start_entry_on(&log, vec![]).await,
        start_entry_on(&log, vec![]).await,
    );
    let (one, _one) = start_backend(&first, 1, Behaviour::Answer).await;
    let (two, _two) = start_backend(&second, 2, Behaviour::Answer).await;
    for _ in 0..10 {
        let key = key();
        let left = caller_client(&first).with("idempotency-key", key.to_string());
        let right = caller_client(&second).with("idempotency-key", key.to_string());
        let (left, right) = tokio::join!(
            left.post(NON_REPEATABLE, "x"),
            right.post(NON_REPEATABLE, "x")
        );
        assert_eq!((text(&left), text(&right)), ("echo:x", "echo:x"));
        let ran = |agent: &crate::support::FakeAgent| {
            let state = agent.lock();
            state.ran.iter().filter(|ran| **ran == Some(key)).count()
        };
        assert_eq!(ran(&one) + ran(&two), 1);
    }
}

#[tokio::test]
async fn log_outage_rejects_new_keys_but_serves_tickets_and_unkeyed_requests() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    take_log_down(&log);
    let keyed = caller_client(&entry).with("agate-deadline-ms", "15000");
    eventually("bare keys are refused", async || {
        let answer = keyed.clone().with("idempotency-key", key().to_string());
        let answer = answer.post(NON_REPEATABLE, "x").await;
        answer.status() != StatusCode::OK && !header(&answer, "retry-after").is_empty()
    })
    .await;
    let ran = agent.lock().ran.len();
    let refused = keyed.clone().with("idempotency-key", key().to_string());
    let refused = refused.post(NON_REPEATABLE, "x").await;
    assert_eq!(header(&refused, "agate-outcome"), "unknown");
    assert_eq!(agent.lock().ran.len(), ran);
    let plain = caller_client(&entry).post(NON_REPEATABLE, "x").await;
    assert_eq!(header(&plain, "agate-outcome"), "done");
    let issued = caller_client(&entry)
        .post("/v1/tickets", r#"{"class":"bench-bind"}"#)
        .await;
    let ticket = crate::support::value(&issued)["ticket"].clone();
    let ticketed = caller_client(&entry).with("agate-ticket", ticket.as_str().unwrap());
    let ticketed = ticketed.post(NON_REPEATABLE, "x").await;
    assert_eq!(header(&ticketed, "agate-outcome"), "done");
}

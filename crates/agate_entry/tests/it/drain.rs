//! Graceful shutdown and restart of failed listeners.

use std::time::Duration;

use agate_entry::ShutdownOutcome;
use http::StatusCode;

use crate::support::{
    Behaviour, Http, caller_client, eventually, header, start_backend, start_entry, text, value,
};

const NON_REPEATABLE: &str = "/v1/requests/bench-bind";

#[tokio::test]
async fn graceful_shutdown_finishes_open_requests() {
    let entry = start_entry().await;
    let (agent, _heartbeats) =
        start_backend(&entry, 1, Behaviour::Slow(Duration::from_millis(600))).await;
    let caller = caller_client(&entry);
    let monitor = Http::new(entry.operator_address());
    let request = tokio::spawn(async move { caller.post(NON_REPEATABLE, "row 4").await });
    eventually("the request runs", async || agent.lock().ran.len() == 1).await;
    let shutdown = entry.shutdown();
    let caller = caller_client(&entry);
    let ended = tokio::spawn(entry.wait());
    shutdown.leave();
    eventually("health says leaving", async || {
        let health = monitor.get("/health").await;
        health.status() == StatusCode::SERVICE_UNAVAILABLE && value(&health)["status"] == "leaving"
    })
    .await;
    let during = caller.post(NON_REPEATABLE, "row 5").await;
    assert_eq!(text(&during), "echo:row 5");
    assert_eq!(text(&request.await.unwrap()), "echo:row 4");
    assert_eq!(ended.await.unwrap().unwrap(), ShutdownOutcome::Clean);
}

#[tokio::test]
async fn abort_reports_open_requests_as_unknown() {
    let entry = start_entry().await;
    let (agent, _heartbeats) =
        start_backend(&entry, 1, Behaviour::Slow(Duration::from_secs(30))).await;
    let caller = caller_client(&entry).with("agate-deadline-ms", "60000");
    let request = tokio::spawn(async move { caller.post(NON_REPEATABLE, "row 4").await });
    eventually("the request runs", async || agent.lock().ran.len() == 1).await;
    let shutdown = entry.shutdown();
    let ended = tokio::spawn(entry.wait());
    shutdown.leave();
    shutdown.abort();
    let answer = request.await.unwrap();
    assert_eq!(header(&answer, "agate-outcome"), "unknown");
    assert!(!header(&answer, "agate-ticket").is_empty());
    assert_eq!(ended.await.unwrap().unwrap(), ShutdownOutcome::Cut);
}

#[tokio::test]
async fn killed_listener_is_restarted_at_the_same_address() {
    let entry = start_entry().await;
    let (_agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let [front, _back] = entry.controls();
    front.kill("callers");
    let address = entry.caller_address();
    eventually("the listener is back", async || {
        tokio::net::TcpStream::connect(address).await.is_ok()
    })
    .await;
    let answer = caller_client(&entry).post(NON_REPEATABLE, "row 4").await;
    assert_eq!(text(&answer), "echo:row 4");
}

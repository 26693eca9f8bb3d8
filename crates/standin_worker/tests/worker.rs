//! Leases, failures and records of the stand-in worker.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::clock::boot_time;
use rstest::rstest;
use standin_worker::{Config, Fault, Handle, TaskStatus, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest wait for something that takes milliseconds on an idle machine, and a lease that outlasts
/// it.
const TIMEOUT: Duration = Duration::from_secs(20);

const RUN: &str = "0000000000000001.0.1";

fn worker() -> Handle {
    serve(&Config::builder().build()).expect("loopback has free ports")
}

/// Sends one request and returns the complete response as text.
async fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the server listens");
    let length = body.len();
    let request = format!(
        "{method} {path} HTTP/1.1\r\nhost: worker\r\nconnection: close\r\n\
         content-type: application/json\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the server reads");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("the server responds");
    response
}

fn deadline(lease: Duration) -> u64 {
    u64::try_from((boot_time() + lease).as_micros()).expect("a time that fits")
}

async fn start(worker: &Handle, payload: &str, lease: Duration) -> String {
    let body = serde_json::json!({
        "run": RUN,
        "demand": {"millicores": 1_000, "memory_mib": 100},
        "checkpoint": null,
        "payload": payload,
        "deadline_us": deadline(lease),
    });
    call(worker.address(), "POST", "/tasks", &body.to_string()).await
}

async fn wait_until(worker: &Handle, wanted: fn(&TaskStatus) -> bool) {
    let seen = async {
        while !worker.ran().tasks.iter().any(|task| wanted(&task.status)) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let seen = tokio::time::timeout(TIMEOUT, seen).await;
    assert!(seen.is_ok(), "timed out: {:?}", worker.ran());
}

#[tokio::test]
async fn task_pauses_at_lease_expiry_and_resumes_on_renewal() {
    let worker = worker();
    let lease = Duration::from_millis(100);
    let latest = deadline(lease) + 1_000_000;
    start(&worker, r#"{"duration_ms": 300}"#, lease).await;
    wait_until(&worker, |status| *status == TaskStatus::Paused).await;
    let end = worker.ran().tasks[0].intervals[0].end_us;
    assert!(end.is_some_and(|end| end < latest), "{end:?}");

    let body = format!(r#"{{"deadline_us": {}}}"#, deadline(TIMEOUT));
    let path = format!("/tasks/{RUN}/lease");
    call(worker.address(), "POST", &path, &body).await;
    wait_until(&worker, |status| *status == TaskStatus::Finished).await;
    let task = worker.ran().tasks.remove(0);
    assert_eq!((task.intervals.len(), task.progress_us), (2, 300_000));
}

#[rstest]
#[case::fails(Fault::None, r#"{"duration_ms": 10, "fails": true}"#, false)]
#[case::too_much_memory(Fault::None, r#"{"duration_ms": 60000, "memory_mib": 101}"#, true)]
#[case::broken_worker(Fault::FailEverything, r#"{"duration_ms": 60000}"#, false)]
#[tokio::test]
async fn task_fails(#[case] fault: Fault, #[case] payload: &str, #[case] expected: bool) {
    let worker = worker();
    worker.set_fault(fault);
    start(&worker, payload, TIMEOUT).await;
    wait_until(&worker, TaskStatus::is_over).await;
    let status = worker.ran().tasks.remove(0).status;
    let TaskStatus::Failed { exhausted, .. } = status else {
        panic!("expected a failure, found {status:?}");
    };
    assert_eq!(exhausted, expected);
}

#[tokio::test]
async fn stop_before_start_prevents_the_start() {
    let worker = worker();
    call(worker.address(), "POST", &format!("/tasks/{RUN}/stop"), "").await;
    let response = start(&worker, "", TIMEOUT).await;
    assert!(response.contains("stopped"), "{response}");
    assert!(worker.ran().tasks.is_empty());
}

#[rstest]
#[case::payload("{\"duration\": 1}")]
#[case::not_json("now")]
#[tokio::test]
async fn invalid_payload_is_rejected(#[case] payload: &str) {
    let worker = worker();
    let response = start(&worker, payload, TIMEOUT).await;
    assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    assert!(worker.ran().tasks.is_empty());
}

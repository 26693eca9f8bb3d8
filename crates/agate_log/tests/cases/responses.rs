//! Truncated, mismatched and missing responses, from a server that sends raw HTTP.

use std::io::{Read, Write};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use agate_core::Offset;
use agate_log::{HttpSettings, HttpStore, LogStore, StoreError, Stream};
use bytes::Bytes;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// A server that sends fixed responses and counts the requests.
struct RawServer {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

/// Sends the responses in order on each connection, then closes it.
async fn serve(responses: Vec<String>) -> RawServer {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("should bind a free port");
    let address = listener.local_addr().expect("should have a local address");
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(respond(stream, responses.clone(), Arc::clone(&counter)));
        }
    });
    RawServer { address, requests }
}

async fn respond(mut stream: TcpStream, responses: Vec<String>, requests: Arc<AtomicUsize>) {
    for response in responses {
        let mut request = [0; 4_096];
        if matches!(stream.read(&mut request).await, Ok(0) | Err(_)) {
            return;
        }
        requests.fetch_add(1, Ordering::SeqCst);
        if response == "silence" {
            tokio::time::sleep(Duration::from_mins(1)).await;
        }
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}

fn ok(body: &str) -> String {
    with_length(body, body.len())
}

fn with_length(body: &str, length: usize) -> String {
    format!("HTTP/1.1 200 OK\r\ncontent-length: {length}\r\n\r\n{body}")
}

fn store(server: &RawServer) -> HttpStore {
    let settings = HttpSettings::builder()
        .address(server.address)
        .call_timeout(Duration::from_millis(200))
        .page_bytes(1_000)
        .build();
    HttpStore::new(settings)
}

#[rstest]
#[case::no_response(String::new())]
#[case::silence("silence".to_owned())]
#[case::not_http("hello\r\n".to_owned())]
#[case::truncated(with_length(r#"{"offset": 1}"#, 20))]
#[case::truncated_json(ok(r#"{"offset": 1"#))]
#[case::wrong_shape(ok(r#"{"position": 1}"#))]
#[case::offset_zero(ok(r#"{"offset": 0}"#))]
#[case::last_offset(ok(r#"{"offset": 18446744073709551615}"#))]
#[case::server_error("HTTP/1.1 500 Oops\r\ncontent-length: 0\r\n\r\n".to_owned())]
#[case::unavailable("HTTP/1.1 503 Down\r\ncontent-length: 0\r\n\r\n".to_owned())]
#[tokio::test]
async fn append_without_a_complete_response_may_have_taken_effect(#[case] response: String) {
    let server = serve(vec![response]).await;
    let appended = store(&server).append(Stream::Main, Bytes::new()).await;
    assert!(appended.unwrap_err().may_have_taken_effect());
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

#[rstest]
#[case::bad_request("400 Bad Request", StoreError::Refused("status 400 Bad Request: ".to_owned()))]
#[case::busy("429 Busy\r\nretry-after: 7", StoreError::Busy(Duration::from_secs(7)))]
#[case::busy_for_ever(
    "429 Busy\r\nretry-after: 18446744073709551615",
    StoreError::Busy(Duration::from_hours(1))
)]
#[case::busy_without_retry_after("429 Busy", StoreError::Busy(Duration::from_secs(1)))]
#[tokio::test]
async fn refused_append_has_no_effect(#[case] status: &str, #[case] error: StoreError) {
    let server = serve(vec![format!(
        "HTTP/1.1 {status}\r\ncontent-length: 0\r\n\r\n"
    )])
    .await;
    let appended = store(&server).append(Stream::Main, Bytes::new()).await;
    assert_eq!(appended, Err(error.clone()));
    assert!(!error.may_have_taken_effect());
}

#[rstest]
#[case::mismatched_offset(r#"{"earliest": 1, "end": 9, "entries": [{"offset": 7, "data": ""}]}"#)]
#[case::gap_inside(
    r#"{"earliest": 1, "end": 9, "entries": [{"offset": 3, "data": ""}, {"offset": 5, "data": ""}]}"#
)]
#[case::offset_past_end(r#"{"earliest": 1, "end": 2, "entries": [{"offset": 3, "data": ""}]}"#)]
#[case::end_without_a_next_offset(
    r#"{"earliest": 1, "end": 18446744073709551615, "entries": [{"offset": 3, "data": ""}]}"#
)]
#[case::earliest_past_the_end(r#"{"earliest": 11, "end": 9, "entries": []}"#)]
#[case::last_offset_as_earliest(r#"{"earliest": 18446744073709551615, "end": 9, "entries": []}"#)]
#[case::no_entry_before_the_end(r#"{"earliest": 1, "end": 9, "entries": []}"#)]
#[case::negative_offset(r#"{"earliest": 1, "end": -1, "entries": []}"#)]
#[case::offset_too_large(r#"{"earliest": 1, "end": 18446744073709551616, "entries": []}"#)]
#[case::not_base64(r#"{"earliest": 1, "end": 9, "entries": [{"offset": 3, "data": "%"}]}"#)]
#[tokio::test]
async fn invalid_page_is_rejected(#[case] body: &str) {
    let server = serve(vec![ok(body)]).await;
    let page = store(&server)
        .read(Stream::Main, Offset(3), Duration::ZERO)
        .await;
    assert!(matches!(page, Err(StoreError::Unanswered(_))), "{page:?}");
}

#[tokio::test]
async fn response_over_the_size_limit_is_rejected() {
    let body = format!(
        r#"{{"earliest": 1, "end": 0, "entries": []}}{}"#,
        " ".repeat(300_000)
    );
    let server = serve(vec![ok(&body)]).await;
    let page = store(&server)
        .read(Stream::Main, Offset(1), Duration::ZERO)
        .await;
    assert!(matches!(page, Err(StoreError::Unanswered(_))));
}

#[tokio::test]
async fn request_is_not_resent_when_its_pooled_connection_closes() {
    let server = serve(vec![ok(r#"{"offset": 1}"#), String::new()]).await;
    let store = store(&server);
    let first = store.append(Stream::Main, Bytes::new()).await;
    assert_eq!(first, Ok(Offset(1)));
    let second = store.append(Stream::Main, Bytes::new()).await;
    assert!(second.unwrap_err().may_have_taken_effect());
    assert_eq!(server.requests.load(Ordering::SeqCst), 2);
}

/// The `hyper-util` pool notices that a connection is closed only when it passes on the request,
/// which it resends on a new connection by default.
#[tokio::test]
async fn request_is_not_resent_on_a_new_connection() {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&requests);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("should accept a connection");
            let mut request = [0; 4_096];
            if stream.read(&mut request).is_ok_and(|bytes| bytes > 0) {
                counter.fetch_add(1, Ordering::SeqCst);
                let response = ok(r#"{"offset": 1}"#);
                stream
                    .write_all(response.as_bytes())
                    .expect("should send the response");
                std::thread::sleep(Duration::from_millis(50));
            }
        }
    });
    let store = store(&RawServer {
        address,
        requests: Arc::clone(&requests),
    });
    let first = store.append(Stream::Main, Bytes::new()).await;
    assert_eq!(first, Ok(Offset(1)));
    // Blocks the thread that drives the connection while the server closes it.
    std::thread::sleep(Duration::from_millis(200));
    // Lets the runtime observe the close; the connection's task runs after this one.
    tokio::task::yield_now().await;
    let second = store.append(Stream::Main, Bytes::new()).await;
    assert!(second.unwrap_err().may_have_taken_effect());
    assert_eq!(requests.load(Ordering::SeqCst), 1);
}

#[tokio::test]
async fn append_to_a_closed_port_is_unreachable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let store = HttpStore::new(HttpSettings::builder().address(address).build());
    let appended = store.append(Stream::Main, Bytes::new()).await;
    assert!(matches!(appended, Err(StoreError::Unreachable(_))));
}

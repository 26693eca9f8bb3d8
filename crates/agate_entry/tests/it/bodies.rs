//! Callers that stop in the middle of a body.

use agate_entry::Limits;
use http::StatusCode;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::support::{Behaviour, caller_client, eventually, start_backend, start_entry_with};

const BODY: usize = 1_048_576;

/// Sends all but the last byte of a body.
async fn stop_short(entry: &agate_entry::Running) -> TcpStream {
    let mut stream = TcpStream::connect(entry.caller_address()).await.unwrap();
    let head = format!("POST /v1/requests/x HTTP/1.1\r\nhost: x\r\ncontent-length: {BODY}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    // The entry may refuse the request before all of it was sent.
    let _ = stream.write_all(&vec![b'x'; BODY - 1]).await;
    stream
}

/// Guards against unfinished bodies that take the memory of the process, or all of its open requests.
#[rstest]
#[case::memory(Limits::builder().max_unfinished(4 << 20).build())]
#[case::requests(Limits::builder().max_inflight(4).build())]
#[tokio::test]
async fn callers_that_stop_short_make_way_for_others(#[case] limits: Limits) {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    let entry = start_entry_with(nowhere, Vec::new(), limits).await;
    let (_agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let mut crowd = Vec::new();
    for _ in 0..12 {
        crowd.push(stop_short(&entry).await);
    }
    eventually("an ordinary request is answered", async || {
        let answer = caller_client(&entry)
            .post("/v1/requests/bench-bind", "row 4")
            .await;
        answer.status() == StatusCode::OK
    })
    .await;
    let mut refusal = [0; 12];
    crowd[0].read_exact(&mut refusal).await.unwrap();
    assert_eq!(&refusal, b"HTTP/1.1 503");
}

//! Limits of the stand-in backend server, and its faults and records.

use std::time::Duration;

use rstest::rstest;
use standin_backend::{Config, Fault, Handle, ServiceTime, serve};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn backend(slots: u32, connections: u32) -> Handle {
    let service = ServiceTime::Fixed(Duration::from_millis(200));
    let config = Config::builder().slots(slots).connections(connections);
    let config = config.service(service).build();
    serve(config).await.expect("loopback has free ports")
}

/// Sends a work request and returns everything received before the connection closed.
async fn work(backend: &Handle) -> String {
    let stream = TcpStream::connect(backend.address()).await;
    let mut stream = stream.expect("the server listens");
    let request = "POST /work/seat-check HTTP/1.1\r\nhost: backend\r\nconnection: close\r\n\
                   agate-request: r-1\r\nagate-key: k-1\r\ncontent-length: 4\r\n\r\nbody";
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the server reads");
    let mut response = Vec::new();
    // Fails if the connection is reset; what was received before remains in `response`.
    let _ = stream.read_to_end(&mut response).await;
    String::from_utf8(response).expect("the response is text")
}

#[rstest]
#[case::slots(1, 8)]
#[case::connections(8, 1)]
#[tokio::test]
async fn work_over_a_limit_is_refused(#[case] slots: u32, #[case] connections: u32) {
    let backend = backend(slots, connections).await;
    let (one, two) = tokio::join!(work(&backend), work(&backend));
    let refused = [&one, &two].map(|response| response.starts_with("HTTP/1.1 503"));
    assert_ne!(refused[0], refused[1], "{one} {two}");
    let ran = backend.ran();
    assert_eq!((ran.runs.len(), ran.refused), (1, 1));
}

#[rstest]
#[case::none(Fault::None, "HTTP/1.1 200", "agate-request: r-1", "body")]
#[case::crossed(Fault::WrongRequest, "HTTP/1.1 200", "agate-request: 0", "body")]
#[case::cut(Fault::Cut, "HTTP/1.1 200", "content-length: 5", "body")]
#[case::errors(Fault::Errors, "HTTP/1.1 500", "agate-request: r-1", "")]
#[case::closed(Fault::Close, "", "", "")]
#[tokio::test]
async fn fault_changes_the_response_and_work_is_recorded(
    #[case] fault: Fault,
    #[case] start: &str,
    #[case] header: &str,
    #[case] end: &str,
) {
    let backend = backend(8, 8).await;
    backend.set_fault(fault);
    let response = work(&backend).await;
    assert!(response.starts_with(start), "{response}");
    assert!(response.contains(header), "{response}");
    assert!(response.ends_with(end), "{response}");
    assert_eq!(response.is_empty(), fault == Fault::Close);
    let run = backend.ran().runs.remove(0);
    assert_eq!(
        (run.key.as_deref(), run.class.as_str()),
        (Some("k-1"), "seat-check")
    );
    assert!(run.end_ms.is_some());
}

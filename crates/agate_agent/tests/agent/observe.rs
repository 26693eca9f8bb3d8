//! Logs, metrics and spans of an agent process.

use std::convert::Infallible;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{ChildStderr, Stdio};
use std::time::Duration;

use agate_wire::rpc::AgentRpcClient;
use bytes::Bytes;
use http::{Request, Response};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use rustix::process::Signal;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use crate::process::{Process, newest_member, quick_entry};
use crate::support::{TEST_TIMEOUT, answer_body, backend, connect_agent, request_to};

/// Starts an OTLP collector. Returns its address and a receiver for the exported spans.
async fn collector() -> (SocketAddr, mpsc::UnboundedReceiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has free ports");
    let address = listener.local_addr().expect("it is bound");
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            let service = service_fn(move |request| collect(request, sender.clone()));
            let http = hyper::server::conn::http1::Builder::new();
            tokio::spawn(http.serve_connection(TokioIo::new(stream), service));
        }
    });
    (address, receiver)
}

async fn collect(
    request: Request<Incoming>,
    sender: mpsc::UnboundedSender<Value>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    let body = request.into_body().collect().await;
    let body = body.expect("the exporter sends complete bodies").to_bytes();
    let json: Value = serde_json::from_slice(&body).expect("the exporter sends JSON");
    let spans = json["resourceSpans"][0]["scopeSpans"][0]["spans"].as_array();
    for span in spans.into_iter().flatten() {
        // Fails once the test has received all the spans it needs.
        let _ = sender.send(span.clone());
    }
    Ok(Response::new(Full::new(Bytes::from_static(b"{}"))))
}

/// Returns the address of the metrics server from the log.
fn metrics_address(stderr: ChildStderr) -> SocketAddr {
    let lines = BufReader::new(stderr).lines().map_while(Result::ok);
    let mut events = lines.filter(|line| line.contains("event=metrics_listening"));
    let line = events.next().expect("the listener is logged");
    let mut pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    let address = pairs.find(|(key, _)| *key == "address");
    let (_, address) = address.expect("the event has an address");
    address.parse().expect("a valid address")
}

async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    let request = format!("GET {path} HTTP/1.1\r\nhost: agent\r\nconnection: close\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("it reads");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("it answers");
    answer
}

#[tokio::test(flavor = "multi_thread")]
async fn request_is_counted_and_has_a_span_for_each_hop() {
    let backend = backend(1, Duration::ZERO).await;
    let entry = quick_entry().await;
    let (collector, mut spans) = collector().await;
    let endpoint = format!("http://{collector}");
    let mut process = Process::start_with("backend", backend.address(), &entry, |command| {
        command.args(["--otlp-endpoint", &endpoint]);
        command.stderr(Stdio::piped());
    });
    let stderr = process.take_stderr();
    let metrics = tokio::task::spawn_blocking(move || metrics_address(stderr)).await;
    let metrics = metrics.expect("no panic");
    let member = newest_member(&entry, None).await;
    let request = request_to(member.incarnation, 1);
    let sent = request.trace;
    let client = connect_agent(member.address).await;
    answer_body(&client.serve(request).await.expect("a reply"));

    let text = get(metrics, "/metrics").await;
    let count = r#"agate_agent_attempts_total{outcome="done",reason=""} 1"#;
    assert!(text.contains(count), "{text}");
    assert!(get(metrics, "/health").await.starts_with("HTTP/1.1 200"));

    process.signal(Signal::TERM);
    let mut seen: Vec<Value> = Vec::new();
    while seen.len() < 2 {
        let span = tokio::time::timeout(TEST_TIMEOUT, spans.recv()).await;
        let span = span.expect("spans are exported before the end");
        seen.push(span.expect("the collector runs"));
    }
    let find = |name: &str| {
        seen.iter()
            .find(|span| span["name"] == name)
            .expect("a span")
    };
    let (serve, forward) = (find("agent.serve"), find("agent.forward"));
    assert_eq!(serve["traceId"], format!("{:032x}", sent.trace));
    assert_eq!(serve["parentSpanId"], format!("{:016x}", sent.span));
    assert_eq!(forward["parentSpanId"], serve["spanId"]);
    let seen_behind = backend.ran().runs[0].trace.clone().expect("a traceparent");
    let behind: agate_core::TraceContext = seen_behind.parse().expect("a valid traceparent");
    assert_eq!(forward["spanId"], format!("{:016x}", behind.span));
    assert_eq!(process.wait_for_exit().await.code(), Some(0));
}

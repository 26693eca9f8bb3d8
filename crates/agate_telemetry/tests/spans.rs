//! Export of spans to a collector.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Incarnation, TraceContext};
use agate_telemetry::spans::{Hop, Tracer};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde_json::Value;
use tokio::net::TcpListener;
use tokio::sync::mpsc;

/// Longest wait for an export, far longer than a call over loopback takes.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a server that accepts OTLP requests and returns its address and the request bodies.
async fn start_collector() -> (SocketAddr, mpsc::UnboundedReceiver<Value>) {
    let listener = TcpListener::bind("127.0.0.1:0")
        .await
        .expect("loopback has free ports");
    let address = listener
        .local_addr()
        .expect("a bound listener has an address");
    let (sender, receiver) = mpsc::unbounded_channel();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let sender = sender.clone();
            let service = service_fn(move |request| collect(request, sender.clone()));
            tokio::spawn(
                hyper::server::conn::http1::Builder::new()
                    .serve_connection(TokioIo::new(stream), service),
            );
        }
    });
    (address, receiver)
}

async fn collect(
    request: Request<Incoming>,
    sender: mpsc::UnboundedSender<Value>,
) -> Result<Response<Full<Bytes>>, Infallible> {
    assert_eq!(request.uri().path(), "/v1/traces");
    let body = request
        .into_body()
        .collect()
        .await
        .expect("the exporter sends whole bodies")
        .to_bytes();
    let json = serde_json::from_slice(&body).expect("the exporter sends JSON");
    sender.send(json).expect("the test still receives");
    Ok(Response::new(Full::new(Bytes::from_static(b"{}"))))
}

fn spans_of(export: &Value) -> Vec<Value> {
    let scopes = export["resourceSpans"]
        .as_array()
        .expect("an export has resources")
        .iter();
    let scopes = scopes.flat_map(|resource| {
        resource["scopeSpans"]
            .as_array()
            .expect("a resource has scopes")
    });
    scopes
        .flat_map(|scope| {
            scope["spans"]
                .as_array()
                .expect("a scope has spans")
                .clone()
        })
        .collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn collector_receives_each_hop_as_child_of_the_previous_one() {
    let (address, mut exports) = start_collector().await;
    let tracer = Tracer::exporting(
        "agate-entry",
        Incarnation::new(7),
        &format!("http://{address}"),
    )
    .expect("the endpoint is a URL");
    let caller = TraceContext {
        trace: 0xabc,
        span: 0xdef,
        sampled: true,
    };

    let request = tracer.start(Hop::EntryRequest, Some(caller));
    let attempt = tracer.start(Hop::EntryAttempt, Some(request.context()));
    let attempt_context = attempt.context();
    drop(attempt);
    drop(request);
    tracer.shutdown().await;

    let export = tokio::time::timeout(EXPORT_TIMEOUT, exports.recv()).await;
    let spans = spans_of(
        &export
            .expect("shutdown exports")
            .expect("the collector runs"),
    );
    let find = |name: &str| {
        spans
            .iter()
            .find(|span| span["name"] == name)
            .expect("the hop was exported")
            .clone()
    };
    let (request, attempt) = (find("entry.request"), find("entry.attempt"));
    assert_eq!(request["parentSpanId"], format!("{:016x}", 0xdef));
    assert_eq!(attempt["parentSpanId"], request["spanId"]);
    assert_eq!(attempt["spanId"], format!("{:016x}", attempt_context.span));
    assert!(
        spans
            .iter()
            .all(|span| span["traceId"] == format!("{:032x}", 0xabc))
    );
}

#[test]
fn tracer_without_export_keeps_the_trace_id_and_creates_new_span_ids() {
    let tracer = Tracer::without_export("agate-agent");
    let parent = TraceContext {
        trace: 1,
        span: 2,
        sampled: true,
    };
    let child = tracer.start(Hop::AgentServe, Some(parent)).context();
    assert_eq!(child.trace, 1);
    assert_ne!(child.span, 2);
    let root = tracer.start(Hop::EntryRequest, None).context();
    assert_ne!(root.trace, 0);
}

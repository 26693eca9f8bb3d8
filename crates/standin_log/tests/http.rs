//! HTTP API of the log: long polls, faults and the append rate limit.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rstest::rstest;
use serde_json::{Value, json};
use standin_log::{Config, Faults, Handle, Limits, serve};

async fn start(appends_per_second: u32) -> Handle {
    let limits = Limits {
        retention: Duration::from_mins(1),
        appends_per_second,
    };
    let listen = SocketAddr::from(([127, 0, 0, 1], 0));
    let config = Config::builder().listen(listen).limits(limits).build();
    serve(config).await.expect("a free port")
}

fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn call(log: &Handle, method: &str, path: &str, body: &str) -> Response<Vec<u8>> {
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{}{path}", log.address()))
        .body(Full::from(body.to_owned()))
        .expect("a valid request");
    let (parts, body) = client()
        .request(request)
        .await
        .expect("the stand-in responds")
        .into_parts();
    let body = body
        .collect()
        .await
        .expect("a complete body")
        .to_bytes()
        .to_vec();
    Response::from_parts(parts, body)
}

async fn append(log: &Handle, body: &str) -> Response<Vec<u8>> {
    call(log, "POST", "/v1/streams/main/append", body).await
}

async fn read(log: &Handle, params: &str) -> Response<Vec<u8>> {
    let path = format!("/v1/streams/main/read?{params}");
    call(log, "GET", &path, "").await
}

fn json(response: &Response<Vec<u8>>) -> Value {
    serde_json::from_slice(response.body()).expect("a JSON body")
}

#[tokio::test]
async fn read_returns_appended_data() {
    let log = start(100).await;
    assert_eq!(json(&append(&log, "one").await), json!({"offset": 1}));
    append(&log, "two").await;
    let page = json(&read(&log, "from=2").await);
    let expected = json!({
        "earliest": 1,
        "end": 2,
        "entries": [{"offset": 2, "data": "dHdv"}],
    });
    assert_eq!(page, expected);
    log.close().await.unwrap();
}

#[tokio::test]
async fn append_wakes_a_waiting_read() {
    let log = start(100).await;
    let waiting = read(&log, "from=1&wait_ms=30000");
    let appending = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        append(&log, "one").await
    };
    let (page, _) = tokio::join!(waiting, appending);
    assert_eq!(json(&page)["end"], 1);
    log.close().await.unwrap();
}

#[tokio::test]
async fn close_ends_a_waiting_read() {
    let log = start(100).await;
    let address = log.address();
    let waiting = tokio::spawn(async move {
        let uri = format!("http://{address}/v1/streams/main/read?from=1&wait_ms=30000");
        client().get(uri.parse().unwrap()).await.unwrap().status()
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    log.close().await.unwrap();
    assert_eq!(waiting.await.unwrap(), StatusCode::OK);
}

#[rstest]
#[case::outage(Faults { outage: true, ..Faults::default() }, StatusCode::SERVICE_UNAVAILABLE, 0)]
#[case::lost(
    Faults { lose_answers_percent: 100, ..Faults::default() },
    StatusCode::INTERNAL_SERVER_ERROR,
    1
)]
#[tokio::test]
async fn faults_apply_to_appends(
    #[case] faults: Faults,
    #[case] status: StatusCode,
    #[case] end: u64,
) {
    let log = start(100).await;
    log.set_faults(faults);
    assert_eq!(append(&log, "one").await.status(), status);
    log.set_faults(Faults::default());
    assert_eq!(json(&read(&log, "from=1").await)["end"], end);
    log.close().await.unwrap();
}

#[tokio::test]
async fn faults_can_be_set_over_http() {
    let log = start(100).await;
    let request = Request::post(format!("http://{}/v1/faults", log.address()))
        .header("content-type", "application/json")
        .body(Full::from(r#"{"outage": true}"#))
        .unwrap();
    let status = client().request(request).await.unwrap().status();
    assert_eq!(status, StatusCode::NO_CONTENT);
    let read = read(&log, "from=1").await;
    assert_eq!(read.status(), StatusCode::SERVICE_UNAVAILABLE);
    log.close().await.unwrap();
}

#[tokio::test]
async fn append_over_the_limit_returns_retry_after() {
    let log = start(1).await;
    append(&log, "one").await;
    let refused = append(&log, "two").await;
    assert_eq!(refused.status(), StatusCode::TOO_MANY_REQUESTS);
    assert_eq!(refused.headers()["retry-after"], "1");
    log.close().await.unwrap();
}

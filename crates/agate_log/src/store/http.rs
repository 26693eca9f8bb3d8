//! The log over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::Offset;
use async_trait::async_trait;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::timeout;

use super::answer::{read_appended, read_page};
use super::{LogStore, Page, StoreError, Stream};

/// Time to wait if the log refuses an append without saying for how long.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);
/// Bytes of an answer beside the data of its entries.
const ENVELOPE_BYTES: usize = 256 * 1024;
/// Longest part of an error body that is shown.
const MAX_SHOWN_BYTES: usize = 200;

/// How the log is reached.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct HttpSettings {
    /// Address and port of the log.
    pub address: SocketAddr,
    /// Time after which a call counts as unanswered; for a read, on top of its wait.
    #[builder(default = Duration::from_secs(2))]
    pub call_timeout: Duration,
    /// Time after which an unused connection is closed.
    #[builder(default = Duration::from_secs(20))]
    pub idle_timeout: Duration,
    /// Bytes of data asked for with one read.
    #[builder(default = 1024 * 1024)]
    pub page_bytes: usize,
}

/// The log over HTTP/1.1, one call at a time on each pooled connection.
#[derive(Debug)]
pub struct HttpStore {
    settings: HttpSettings,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpStore {
    /// Prepares calls; connections are made when they are needed.
    pub fn new(settings: HttpSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.call_timeout));
        // The pool repeats a request on a new connection by default if a pooled one closes.
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(settings.idle_timeout)
            .retry_canceled_requests(false)
            .build(connector);
        Self { settings, client }
    }

    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Bytes, StoreError> {
        match timeout(limit, self.exchange(request)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unanswered(format!("nothing for {limit:?}"))),
        }
    }

    async fn exchange(&self, request: Request<Full<Bytes>>) -> Result<Bytes, StoreError> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| call_error(&error))?;
        let (parts, body) = response.into_parts();
        let body = self.whole_body(body).await?;
        check_status(Response::from_parts(parts, body))
    }

    async fn whole_body(&self, body: Incoming) -> Result<Bytes, StoreError> {
        // Base64 makes the data a third larger.
        let limit = self.settings.page_bytes.saturating_mul(2) + ENVELOPE_BYTES;
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => Err(StoreError::Unanswered(format!("a cut answer: {error}"))),
        }
    }
}

#[async_trait]
impl LogStore for HttpStore {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, StoreError> {
        let uri = format!(
            "http://{}/v1/streams/{stream}/append",
            self.settings.address
        );
        let request = Request::post(uri)
            .header(CONTENT_TYPE, "application/octet-stream")
            .body(Full::new(data));
        let request = request.map_err(|error| StoreError::Refused(error.to_string()))?;
        let body = self.call(request, self.settings.call_timeout).await?;
        read_appended(&body)
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, StoreError> {
        let uri = format!(
            "http://{}/v1/streams/{stream}/read?from={from}&max_bytes={}&wait_ms={}",
            self.settings.address,
            self.settings.page_bytes,
            wait.as_millis()
        );
        let request = Request::get(uri).body(Full::default());
        let request = request.map_err(|error| StoreError::Refused(error.to_string()))?;
        let body = self
            .call(request, self.settings.call_timeout + wait)
            .await?;
        read_page(&body, from)
    }
}

fn call_error(error: &Error) -> StoreError {
    if error.is_connect() {
        return StoreError::Unreachable(format!("{error:?}"));
    }
    StoreError::Unanswered(format!("{error:?}"))
}

fn check_status(response: Response<Bytes>) -> Result<Bytes, StoreError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response.into_body());
    }
    if status == StatusCode::TOO_MANY_REQUESTS {
        return Err(StoreError::Busy(retry_after(response.headers())));
    }
    let body = response.body();
    let shown = String::from_utf8_lossy(&body[..body.len().min(MAX_SHOWN_BYTES)]);
    let what = format!("status {status}: {shown}");
    if status.is_client_error() {
        return Err(StoreError::Refused(what));
    }
    Err(StoreError::Unanswered(what))
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let seconds = seconds.and_then(|text| text.parse().ok());
    seconds.map_or(DEFAULT_RETRY, Duration::from_secs)
}

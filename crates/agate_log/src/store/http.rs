//! HTTP/1.1 client of the log.

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

use super::response::{parse_append_response, parse_page};
use super::{LogStore, Page, StoreError, Stream};

/// Wait after a 429 response without a valid `Retry-After` header.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Maximum wait after a 429 response.
const MAX_RETRY_AFTER: Duration = Duration::from_hours(1);
/// Maximum size of a response in addition to the data of its entries.
const ENVELOPE_BYTES: usize = 256 * 1024;
/// Maximum length of a response body quoted in an error.
const MAX_EXCERPT_BYTES: usize = 200;

/// Settings of the HTTP client.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct HttpSettings {
    /// Address and port of the log.
    pub address: SocketAddr,
    /// Timeout of a call; for a read, in addition to its wait.
    #[builder(default = Duration::from_secs(2))]
    pub call_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[builder(default = Duration::from_secs(20))]
    pub idle_timeout: Duration,
    /// Number of data bytes requested with one read.
    #[builder(default = 1024 * 1024)]
    pub page_bytes: usize,
}

/// HTTP/1.1 client of the log with pooled connections, each used for one call at a time.
#[derive(Debug)]
pub struct HttpStore {
    settings: HttpSettings,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl HttpStore {
    /// Creates a client. Connections are opened on demand.
    pub fn new(settings: HttpSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.call_timeout));
        // By default, the pool resends a request on a new connection if a pooled one closes.
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
        match timeout(limit, self.send(request)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::Unanswered(format!(
                "no response within {limit:?}"
            ))),
        }
    }

    async fn send(&self, request: Request<Full<Bytes>>) -> Result<Bytes, StoreError> {
        let response = self
            .client
            .request(request)
            .await
            .map_err(|error| transport_error(&error))?;
        let (parts, body) = response.into_parts();
        let body = self.read_body(body).await?;
        check_status(Response::from_parts(parts, body))
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, StoreError> {
        // Base64 enlarges the data by a third.
        let limit = self.settings.page_bytes.saturating_mul(2) + ENVELOPE_BYTES;
        match Limited::new(body, limit).collect().await {
            Ok(body) => Ok(body.to_bytes()),
            Err(error) => Err(StoreError::Unanswered(format!(
                "incomplete response: {error}"
            ))),
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
        parse_append_response(&body)
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
        parse_page(&body, from)
    }
}

fn transport_error(error: &Error) -> StoreError {
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
    let excerpt = String::from_utf8_lossy(&body[..body.len().min(MAX_EXCERPT_BYTES)]);
    let message = format!("status {status}: {excerpt}");
    if status.is_client_error() {
        return Err(StoreError::Refused(message));
    }
    Err(StoreError::Unanswered(message))
}

fn retry_after(headers: &HeaderMap) -> Duration {
    let seconds = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok());
    let seconds = seconds.and_then(|text| text.parse().ok());
    let delay = seconds.map_or(DEFAULT_RETRY_AFTER, Duration::from_secs);
    delay.min(MAX_RETRY_AFTER)
}

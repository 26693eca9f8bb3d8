//! HTTP/1.1 client of the log.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{Offset, PageResult, PageSize};
use async_trait::async_trait;
use bytes::{Bytes, BytesMut};
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::{TokioExecutor, TokioTimer};
use tokio::time::{Instant, timeout};

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
    /// Timeout of an append. For a read, timeout until the response begins, in addition to its wait, and
    /// of each pause within the response.
    #[builder(default = Duration::from_secs(2))]
    pub call_timeout: Duration,
    /// Time after which an idle connection is closed.
    #[builder(default = Duration::from_secs(20))]
    pub idle_timeout: Duration,
    /// Maximum number of data bytes requested with one read.
    #[builder(default = PageSize::MAX_BYTES)]
    pub page_bytes: usize,
}

/// HTTP/1.1 client of the log with pooled connections, each used for one call at a time.
#[derive(Debug)]
pub struct HttpStore {
    settings: HttpSettings,
    client: Client<HttpConnector, Full<Bytes>>,
    /// Size of the next page, the same for all streams because they share the link.
    page_size: Mutex<PageSize>,
}

/// Why a call got no response that can be used.
enum CallError {
    TimedOut(String),
    Failed(StoreError),
}

impl From<CallError> for StoreError {
    fn from(error: CallError) -> Self {
        match error {
            CallError::TimedOut(cause) => Self::Unanswered(cause),
            CallError::Failed(error) => error,
        }
    }
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
        Self {
            settings,
            client,
            page_size: Mutex::default(),
        }
    }

    fn page_size(&self) -> MutexGuard<'_, PageSize> {
        let size = self.page_size.lock();
        size.unwrap_or_else(PoisonError::into_inner)
    }

    /// Sends a request. `limit` applies until the response begins.
    async fn call(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Bytes, CallError> {
        let timed_out = |_| CallError::TimedOut(format!("no response within {limit:?}"));
        let begun = timeout(limit, self.client.request(request));
        let response = begun.await.map_err(timed_out)?;
        let response = response.map_err(|error| CallError::Failed(transport_error(&error)))?;
        let (parts, body) = response.into_parts();
        let body = self.read_body(body).await?;
        check_status(Response::from_parts(parts, body)).map_err(CallError::Failed)
    }

    async fn read_body(&self, mut body: Incoming) -> Result<Bytes, CallError> {
        // Base64 enlarges the data by a third.
        let limit = self.settings.page_bytes.saturating_mul(2) + ENVELOPE_BYTES;
        let mut received = BytesMut::new();
        loop {
            let next = timeout(self.settings.call_timeout, body.frame()).await;
            let stalled = |_| CallError::TimedOut("the response stalled".to_owned());
            let Some(frame) = next.map_err(stalled)? else {
                return Ok(received.freeze());
            };
            let frame = frame.map_err(|error| incomplete(&error.to_string()))?;
            let Some(data) = frame.data_ref() else {
                continue;
            };
            if received.len() + data.len() > limit {
                return Err(incomplete("it is too long"));
            }
            received.extend_from_slice(data);
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
        let limit = self.settings.call_timeout;
        let Ok(body) = timeout(limit, self.call(request, limit)).await else {
            return Err(StoreError::Unanswered(format!(
                "no response within {limit:?}"
            )));
        };
        parse_append_response(&body?)
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, StoreError> {
        let size = self.page_size().bytes();
        let uri = format!(
            "http://{}/v1/streams/{stream}/read?from={from}&max_bytes={}&wait_ms={}",
            self.settings.address,
            size.min(self.settings.page_bytes),
            wait.as_millis()
        );
        let request = Request::get(uri).body(Full::default());
        let request = request.map_err(|error| StoreError::Refused(error.to_string()))?;
        let began = Instant::now();
        let limit = self.settings.call_timeout + wait;
        let body = self.call(request, limit).await.inspect_err(|error| {
            if matches!(error, CallError::TimedOut(_)) {
                self.page_size().record(PageResult::TimedOut);
            }
        })?;
        let page = parse_page(&body, from)?;
        self.page_size().record(page_result(&page, began.elapsed()));
        Ok(page)
    }
}

fn page_result(page: &Page, took: Duration) -> PageResult {
    match page.entries.last() {
        Some(last) if last.offset < page.end => PageResult::Full(took),
        _ => PageResult::Last,
    }
}

fn incomplete(cause: &str) -> CallError {
    CallError::Failed(StoreError::Unanswered(format!(
        "incomplete response: {cause}"
    )))
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

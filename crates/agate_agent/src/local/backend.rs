//! Forwarding of urgent requests to the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{ClassName, Key, TraceContext};
use agate_wire::Blob;
use agate_wire::message::BackendResponse;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Request};
use http_body_util::Full;

use super::exchange::{ExchangeError, Whole, exchange};
use super::pool::Pool;

/// Header that carries the id of a request; the answer repeats it.
const REQUEST_HEADER: &str = "agate-request";

/// Header that carries the idempotency key.
const KEY_HEADER: &str = "agate-key";

/// Header that carries the trace context.
const TRACE_HEADER: &str = "traceparent";

/// Media type of an answer that names none.
const DEFAULT_MEDIA: &str = "application/octet-stream";

/// One request to forward.
#[derive(Debug, Clone)]
pub(crate) struct Forward {
    /// Id of the exchange, unique for the agent.
    pub(crate) id: String,
    pub(crate) key: Option<Key>,
    pub(crate) class: ClassName,
    pub(crate) trace: TraceContext,
    pub(crate) media: String,
    pub(crate) body: Bytes,
    /// Longest time to wait for the answer.
    pub(crate) limit: Duration,
}

/// The backend server.
#[derive(Debug)]
pub(crate) struct Backend {
    pool: Pool,
}

impl Backend {
    pub(crate) fn new(address: SocketAddr, connections: u32) -> Self {
        Self {
            pool: Pool::new(address, connections),
        }
    }

    /// Sends the request once and checks that the answer is whole and its own.
    pub(crate) async fn forward(&self, forward: Forward) -> Result<BackendResponse, ExchangeError> {
        let id = forward.id.clone();
        let limit = forward.limit;
        let request = self.request(forward)?;
        let exchanged = exchange(&self.pool, request, limit).await?;
        check_own(&exchanged.whole, &id)?;
        Ok(answer(&exchanged.keep(&self.pool)))
    }

    fn request(&self, forward: Forward) -> Result<Request<Full<Bytes>>, ExchangeError> {
        let mut builder = Request::post(format!("/work/{}", forward.class))
            .header(HOST, self.pool.address().to_string())
            .header(CONTENT_TYPE, forward.media)
            .header(REQUEST_HEADER, forward.id)
            .header(TRACE_HEADER, forward.trace.to_string());
        if let Some(key) = forward.key {
            builder = builder.header(KEY_HEADER, key.to_string());
        }
        builder
            .body(Full::new(forward.body))
            .map_err(|error| ExchangeError::NotSent(error.to_string()))
    }
}

/// An answer that names another request belongs to someone else and is never delivered.
fn check_own(whole: &Whole, id: &str) -> Result<(), ExchangeError> {
    let named = whole.headers.get(REQUEST_HEADER);
    if named.map(HeaderValue::as_bytes) == Some(id.as_bytes()) {
        return Ok(());
    }
    Err(ExchangeError::Uncertain(format!(
        "the answer with status {} doesn't repeat the id of the request",
        whole.status
    )))
}

fn answer(whole: &Whole) -> BackendResponse {
    let media = whole.headers.get(CONTENT_TYPE);
    let media = media.and_then(|value| value.to_str().ok());
    BackendResponse {
        status: whole.status.as_u16(),
        media: media.unwrap_or(DEFAULT_MEDIA).to_owned(),
        body: Blob::new(&whole.body),
    }
}

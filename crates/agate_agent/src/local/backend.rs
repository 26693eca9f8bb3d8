//! Client that forwards urgent requests to the backend server.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{ClassName, Key, TraceContext};
use agate_wire::Blob;
use agate_wire::message::BackendResponse;
use bytes::Bytes;
use http::header::{CONTENT_TYPE, HOST};
use http::{HeaderValue, Request};
use http_body_util::Full;

use super::exchange::{ExchangeError, HttpResponse, exchange};
use super::pool::Pool;

/// Header with the id of the exchange, which the answer must echo.
const REQUEST_HEADER: &str = "agate-request";

/// Header with the idempotency key.
const KEY_HEADER: &str = "agate-key";

/// Header with the trace context.
const TRACE_HEADER: &str = "traceparent";

/// Media type of an answer without a `Content-Type`.
const DEFAULT_MEDIA: &str = "application/octet-stream";

/// An urgent request to forward.
#[derive(Debug, Clone)]
pub(crate) struct ForwardRequest {
    /// Id of the exchange, unique among all agents.
    pub(crate) id: String,
    pub(crate) key: Option<Key>,
    pub(crate) class: ClassName,
    pub(crate) trace: TraceContext,
    pub(crate) media: String,
    pub(crate) body: Bytes,
    /// Longest wait for the answer.
    pub(crate) answer_limit: Duration,
}

/// Client for the backend server.
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

    /// Sends the request once and checks that the answer is complete and echoes its id.
    pub(crate) async fn forward(
        &self,
        forward: ForwardRequest,
    ) -> Result<BackendResponse, ExchangeError> {
        let id = forward.id.clone();
        let answer_limit = forward.answer_limit;
        let request = self.request(forward)?;
        let exchanged = exchange(&self.pool, request, answer_limit).await?;
        check_request_id(&exchanged.response, &id)?;
        Ok(to_backend_response(&exchanged.keep_connection(&self.pool)))
    }

    fn request(&self, forward: ForwardRequest) -> Result<Request<Full<Bytes>>, ExchangeError> {
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

/// Checks that the answer echoes the request id `id`; any other answer is never delivered.
fn check_request_id(response: &HttpResponse, id: &str) -> Result<(), ExchangeError> {
    let echoed_id = response.headers.get(REQUEST_HEADER);
    if echoed_id.map(HeaderValue::as_bytes) == Some(id.as_bytes()) {
        return Ok(());
    }
    Err(ExchangeError::Uncertain(format!(
        "the answer with status {} doesn't repeat the id of the request",
        response.status
    )))
}

fn to_backend_response(response: &HttpResponse) -> BackendResponse {
    let media = response.headers.get(CONTENT_TYPE);
    let media = media.and_then(|value| value.to_str().ok());
    BackendResponse {
        status: response.status.as_u16(),
        media: media.unwrap_or(DEFAULT_MEDIA).to_owned(),
        body: Blob::new(&response.body),
    }
}

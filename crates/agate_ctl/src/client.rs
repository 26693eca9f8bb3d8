//! HTTP client for entries.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use displaydoc::Display;
use http::header::{AUTHORIZATION, CONTENT_TYPE};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::time::timeout;

use crate::Options;

/// Longest time to connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest time for a whole call. It lets an entry find out whether the log recorded a change after
/// the answer of the log was lost.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Maximum size of a response body.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;

/// An HTTP call to an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
}

/// A response of an entry.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Response {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Why a call has no response.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum CallError {
    /// {0} can't be reached: {1}
    Unreachable(SocketAddr, String),
    /// {0} did not respond: {1}
    NoResponse(SocketAddr, String),
}

impl std::error::Error for CallError {}

/// HTTP client for entries. It never retries a call by itself.
#[derive(Debug)]
pub(crate) struct EntryClient<'a> {
    options: &'a Options,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl<'a> EntryClient<'a> {
    pub(crate) fn new(options: &'a Options) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { options, client }
    }

    /// Sends a call to an entry.
    ///
    /// # Errors
    ///
    /// Returns a [`CallError`] if there is no complete response.
    pub(crate) async fn call(&self, entry: SocketAddr, call: &Call) -> Result<Response, CallError> {
        let result = timeout(CALL_TIMEOUT, self.exchange(entry, call));
        result
            .await
            .unwrap_or_else(|_elapsed| Err(CallError::NoResponse(entry, "timed out".to_owned())))
    }

    async fn exchange(&self, entry: SocketAddr, call: &Call) -> Result<Response, CallError> {
        let mut request = Request::builder()
            .method(call.method.clone())
            .uri(format!("http://{entry}{}", call.path))
            .header(CONTENT_TYPE, "application/json")
            .header(
                AUTHORIZATION,
                format!("Bearer {}", self.options.token.expose()),
            );
        if let Some(operator) = &self.options.operator {
            request = request.header("agate-operator", operator);
        }
        let request = request.body(Full::new(Bytes::from(call.body.clone())));
        let no_response = |cause: String| CallError::NoResponse(entry, cause);
        let request = request.map_err(|error| CallError::Unreachable(entry, error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::Unreachable(entry, "connection failed".to_owned())
            } else {
                no_response(error.to_string())
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|error| no_response(error.to_string()))?;
        Ok(Response {
            status,
            body: body.to_bytes(),
        })
    }
}

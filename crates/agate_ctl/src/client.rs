//! Calls to entries over HTTP.

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

/// Time for a connection.
const CONNECT_TIME: Duration = Duration::from_secs(2);

/// Time for a whole call; an entry settles a lost answer of the log within it.
const CALL_TIME: Duration = Duration::from_secs(15);

/// Largest answer that is read, in bytes.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// One call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Call {
    pub(crate) method: Method,
    pub(crate) path: String,
    pub(crate) body: String,
}

/// An entry's answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Answer {
    pub(crate) status: StatusCode,
    pub(crate) body: Bytes,
}

/// Why there is no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum CallError {
    /// {0} can't be reached: {1}
    Unreachable(SocketAddr, String),
    /// {0} gave no answer: {1}
    Unanswered(SocketAddr, String),
}

impl std::error::Error for CallError {}

/// Calls entries. Nothing is repeated behind the caller's back.
#[derive(Debug)]
pub(crate) struct EntryClient<'a> {
    options: &'a Options,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl<'a> EntryClient<'a> {
    pub(crate) fn new(options: &'a Options) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIME));
        let client = Client::builder(TokioExecutor::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { options, client }
    }

    /// Makes a call at one entry.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub(crate) async fn call(&self, entry: SocketAddr, call: &Call) -> Result<Answer, CallError> {
        let exchange = timeout(CALL_TIME, self.exchange(entry, call));
        exchange.await.unwrap_or_else(|_elapsed| {
            Err(CallError::Unanswered(entry, "the time is over".to_owned()))
        })
    }

    async fn exchange(&self, entry: SocketAddr, call: &Call) -> Result<Answer, CallError> {
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
        let unanswered = |cause: String| CallError::Unanswered(entry, cause);
        let request = request.map_err(|error| CallError::Unreachable(entry, error.to_string()))?;
        let response = self.client.request(request).await.map_err(|error| {
            if error.is_connect() {
                CallError::Unreachable(entry, "no connection".to_owned())
            } else {
                unanswered(error.to_string())
            }
        })?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
        let body = body
            .collect()
            .await
            .map_err(|error| unanswered(error.to_string()))?;
        Ok(Answer {
            status,
            body: body.to_bytes(),
        })
    }
}

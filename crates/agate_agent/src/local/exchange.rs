//! One HTTP request and its complete response.

use std::time::Duration;

use agate_wire::MAX_BODY_BYTES;
use bytes::Bytes;
use displaydoc::Display;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use tokio::time::timeout;

use super::connection::Connection;
use super::pool::Pool;

/// A complete HTTP response.
#[derive(Debug, Clone)]
pub(crate) struct HttpResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
}

/// Reason why there is no complete response.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum ExchangeError {
    /// the request was not sent: {0}
    NotSent(String),
    /// the request may have been sent: {0}
    Uncertain(String),
}

/// Maximum number of connections to try while a request remains unsent.
const MAX_SEND_TRIES: usize = 4;

/// A complete response and the connection that it arrived on.
#[derive(Debug)]
pub(crate) struct CompletedExchange {
    pub(crate) response: HttpResponse,
    connection: Connection,
}

impl CompletedExchange {
    /// Returns the connection to the pool and the response to the caller. Without this call the
    /// connection is closed, which is required if the response belongs to another request.
    pub(crate) fn keep_connection(self, pool: &Pool) -> HttpResponse {
        pool.put(self.connection);
        self.response
    }
}

/// Sends `request` once and reads the complete response.
///
/// Another connection is tried only if the request was certainly not sent, as happens when an idle
/// connection turns out to be closed.
pub(crate) async fn exchange(
    pool: &Pool,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<CompletedExchange, ExchangeError> {
    match timeout(limit, send(pool, request)).await {
        Ok(result) => result,
        Err(_) => Err(ExchangeError::Uncertain(
            "no whole answer in time".to_owned(),
        )),
    }
}

async fn send(
    pool: &Pool,
    request: Request<Full<Bytes>>,
) -> Result<CompletedExchange, ExchangeError> {
    let mut request = request;
    for _ in 0..MAX_SEND_TRIES {
        let mut connection = pool.take().await.map_err(ExchangeError::NotSent)?;
        if connection.sender.ready().await.is_err() {
            continue;
        }
        match connection.sender.try_send_request(request).await {
            Ok(incoming) => return read_response(connection, incoming).await,
            Err(mut error) => match error.take_message() {
                Some(unsent) => request = unsent,
                None => return Err(ExchangeError::Uncertain(error.error().to_string())),
            },
        }
    }
    Err(ExchangeError::NotSent(
        "every connection was closed before the request left".to_owned(),
    ))
}

async fn read_response(
    connection: Connection,
    incoming: Response<Incoming>,
) -> Result<CompletedExchange, ExchangeError> {
    let (head, body) = incoming.into_parts();
    if !declares_length(&head.headers) {
        return Err(ExchangeError::Uncertain(
            "the answer doesn't state its length".to_owned(),
        ));
    }
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await;
    let body = body.map_err(|error| ExchangeError::Uncertain(error.to_string()))?;
    let response = HttpResponse {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    };
    Ok(CompletedExchange {
        response,
        connection,
    })
}

/// Returns whether a truncated body can be detected.
fn declares_length(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING)
}

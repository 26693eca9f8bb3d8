//! Construction of HTTP responses.

use std::time::Duration;

use agate_core::{Finding, Findings, Outcome};
use agate_wire::message::BackendResponse;
use dropshot::Body;
use http::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use http::{Response, StatusCode};
use serde::Serialize;

/// Header with the outcome of a request.
pub(crate) const OUTCOME: HeaderName = HeaderName::from_static("agate-outcome");
/// Header that carries a ticket.
pub(crate) const TICKET: HeaderName = HeaderName::from_static("agate-ticket");
/// Header with the retry delay in milliseconds; `retry-after` has whole seconds only.
const RETRY_MS: HeaderName = HeaderName::from_static("agate-retry-ms");

/// A complete HTTP response.
pub(crate) type Reply = Response<Body>;

/// Body of every error response.
#[derive(Debug, Serialize)]
struct Problem<'a> {
    error: &'a str,
    message: &'a str,
    #[serde(skip_serializing_if = "<[Finding]>::is_empty")]
    findings: &'a [Finding],
}

/// Returns a JSON response.
pub(crate) fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    // Serialization can't fail: the views have string keys only.
    let body = serde_json::to_vec(value).unwrap_or_default();
    with_body(status, HeaderValue::from_static("application/json"), body)
}

/// Returns a response with a body of the given media type.
pub(crate) fn with_body(status: StatusCode, media: HeaderValue, body: Vec<u8>) -> Reply {
    let mut reply = Response::new(Body::with_content(body));
    *reply.status_mut() = status;
    reply.headers_mut().insert(CONTENT_TYPE, media);
    reply
}

/// Returns an error response with one message.
pub(crate) fn problem(status: StatusCode, error: &str, message: &str) -> Reply {
    json(
        status,
        &Problem {
            error,
            message,
            findings: &[],
        },
    )
}

/// Returns an error response with every finding in the request.
pub(crate) fn invalid(findings: &Findings) -> Reply {
    let too_large = findings
        .as_slice()
        .iter()
        .any(|finding| finding.place == super::body::PLACE);
    let status = if too_large {
        StatusCode::PAYLOAD_TOO_LARGE
    } else {
        StatusCode::BAD_REQUEST
    };
    json(
        status,
        &Problem {
            error: "invalid",
            message: "the request was refused as a whole; correct each finding",
            findings: findings.as_slice(),
        },
    )
}

/// Sets the outcome header.
pub(crate) fn with_outcome(mut reply: Reply, outcome: Outcome) -> Reply {
    let name: &'static str = outcome.into();
    reply
        .headers_mut()
        .insert(OUTCOME, HeaderValue::from_static(name));
    reply
}

/// Sets the retry delay, in milliseconds and in whole seconds, at least one.
pub(crate) fn with_retry(mut reply: Reply, after: Duration) -> Reply {
    let ms = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
    let seconds = ms.div_ceil(1_000).max(1);
    let headers = reply.headers_mut();
    headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    headers.insert(RETRY_MS, HeaderValue::from(ms));
    reply
}

/// Adds the ticket for querying the request's status.
pub(crate) fn with_ticket(mut reply: Reply, ticket: &str) -> Reply {
    // A ticket is Base64, which is valid in any header.
    if let Ok(value) = HeaderValue::from_str(ticket) {
        reply.headers_mut().insert(TICKET, value);
    }
    reply
}

/// Returns the response for a backend server's answer, whose body has been verified.
pub(crate) fn answer(answer: &BackendResponse, body: Vec<u8>) -> Reply {
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let media = HeaderValue::from_str(&answer.media)
        .unwrap_or(HeaderValue::from_static("application/octet-stream"));
    with_outcome(with_body(status, media, body), Outcome::Done)
}

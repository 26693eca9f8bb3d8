//! Urgent requests.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::Key;
use bon::Builder;
use rand::Rng;
use strum::Display;

use crate::client::{Call, Method, Reply, call};

/// Binding of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Binding {
    /// Not bound.
    Unbound,
    /// Bound in the log by an idempotency key.
    Key(Key),
    /// Bound by a ticket.
    Ticket(String),
}

/// An urgent request.
#[derive(Debug, Clone, Builder)]
pub struct UrgentRequest {
    /// Class of the request.
    #[builder(into)]
    pub class: String,
    /// Body, which the backend server echoes.
    #[builder(into)]
    pub body: String,
    /// Binding of the request.
    #[builder(default = Binding::Unbound)]
    pub binding: Binding,
    /// Time until the deadline.
    #[builder(default = Duration::from_secs(2))]
    pub deadline: Duration,
}

/// Outcome of a request as seen by its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// A complete response to this request.
    Done,
    /// A response that is incomplete or belongs to another request.
    WrongAnswer,
    /// The request did not run.
    NotRun,
    /// It is unknown whether the request ran.
    Unknown,
    /// No response, or one without an outcome.
    Nothing,
    /// The entry rejected the request as malformed.
    Invalid,
}

/// Sends a request through the entry at `to`.
pub async fn send(to: SocketAddr, urgent: &UrgentRequest) -> CallOutcome {
    // Time that the call may take beyond the deadline of the request.
    const SLACK: Duration = Duration::from_secs(3);
    let mut headers = vec![("agate-deadline-ms", urgent.deadline.as_millis().to_string())];
    match &urgent.binding {
        Binding::Unbound => {}
        Binding::Key(key) => headers.push(("idempotency-key", key.to_string())),
        Binding::Ticket(ticket) => headers.push(("agate-ticket", ticket.clone())),
    }
    let request = Call::builder()
        .to(to)
        .method(Method::Post)
        .path(format!("/v1/requests/{}", urgent.class))
        .headers(headers)
        .body(urgent.body.clone())
        .limit(urgent.deadline + SLACK)
        .build();
    match call(request).await {
        Ok(reply) => classify(&reply, &urgent.body),
        Err(_) => CallOutcome::Nothing,
    }
}

/// Sends a repeatable request and retries it like a caller while the outcome is `NotRun` or
/// `Unknown`.
pub async fn send_with_retries(to: SocketAddr, urgent: &UrgentRequest) -> CallOutcome {
    const MAX_ATTEMPTS: usize = 8;
    const RETRY_DELAY: Duration = Duration::from_millis(250);
    let mut outcome = send(to, urgent).await;
    for _ in 1..MAX_ATTEMPTS {
        if !matches!(outcome, CallOutcome::NotRun | CallOutcome::Unknown) {
            break;
        }
        tokio::time::sleep(RETRY_DELAY).await;
        outcome = send(to, urgent).await;
    }
    outcome
}

fn classify(reply: &Reply, body: &str) -> CallOutcome {
    match reply.header("agate-outcome") {
        Some("done") if reply.body == body.as_bytes() => CallOutcome::Done,
        Some("done") => CallOutcome::WrongAnswer,
        Some("not-run") => CallOutcome::NotRun,
        Some("unknown") => CallOutcome::Unknown,
        _ if reply.status.is_client_error() => CallOutcome::Invalid,
        _ => CallOutcome::Nothing,
    }
}

/// Returns a random key with the current time.
pub fn new_key(rng: &mut impl Rng) -> Key {
    Key::from_parts(agate_core::clock::wall_millis(), rng.random())
}

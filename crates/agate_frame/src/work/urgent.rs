//! Urgent requests.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::Key;
use bon::Builder;
use rand::Rng;
use strum::Display;

use crate::client::{Call, Method, Reply, call};

/// How a request is bound.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Binding {
    /// By nobody.
    Unbound,
    /// By the log.
    Key(Key),
    /// By a ticket.
    Ticket(String),
}

/// An urgent request.
#[derive(Debug, Clone, Builder)]
pub struct UrgentRequest {
    /// Class.
    #[builder(into)]
    pub class: String,
    /// Body; the backend server answers with the same bytes.
    #[builder(into)]
    pub body: String,
    /// Binding.
    #[builder(default = Binding::Unbound)]
    pub binding: Binding,
    /// Time allowed.
    #[builder(default = Duration::from_secs(2))]
    pub deadline: Duration,
}

/// What the caller was told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// The whole answer, and it is the caller's own.
    Done,
    /// An answer that is not the caller's own, or not whole.
    WrongAnswer,
    /// It did not run.
    NotRun,
    /// Nobody knows whether it ran.
    Unknown,
    /// The entry gave no answer.
    Nothing,
    /// The entry found the request malformed.
    Invalid,
}

/// Sends a request through the entry at `to`.
pub async fn send(to: SocketAddr, urgent: &UrgentRequest) -> CallOutcome {
    // Time that the call may take past the request's own deadline.
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
        Ok(reply) => judge(&reply, &urgent.body),
        Err(_) => CallOutcome::Nothing,
    }
}

/// Sends a repeatable request and comes back when told to, as callers do.
pub async fn send_with_retries(to: SocketAddr, urgent: &UrgentRequest) -> CallOutcome {
    const TRIES: usize = 8;
    const PAUSE: Duration = Duration::from_millis(250);
    let mut told = send(to, urgent).await;
    for _ in 1..TRIES {
        if !matches!(told, CallOutcome::NotRun | CallOutcome::Unknown) {
            break;
        }
        tokio::time::sleep(PAUSE).await;
        told = send(to, urgent).await;
    }
    told
}

fn judge(reply: &Reply, body: &str) -> CallOutcome {
    match reply.header("agate-outcome") {
        Some("done") if reply.body == body.as_bytes() => CallOutcome::Done,
        Some("done") => CallOutcome::WrongAnswer,
        Some("not-run") => CallOutcome::NotRun,
        Some("unknown") => CallOutcome::Unknown,
        _ if reply.status.is_client_error() => CallOutcome::Invalid,
        _ => CallOutcome::Nothing,
    }
}

/// Draws a key made now.
pub fn new_key(rng: &mut impl Rng) -> Key {
    Key::from_parts(agate_core::clock::wall_millis(), rng.random())
}

//! A single attempt to serve a request at one incarnation.

use std::time::Duration;

use agate_core::{Incarnation, Key};
use agate_telemetry::spans::Hop;
use agate_wire::message::{BackendResponse, Refusal, ServeReply, ServeRequest, ServeResult};
use agate_wire::rpc::AgentRpcClient;

use super::call::AttemptParams;
use super::{Call, Deadline};
use crate::entry::Entry;
use crate::rpc::Link;

/// An answer whose body has been decoded and verified.
#[derive(Debug, Clone)]
pub(crate) struct VerifiedAnswer {
    /// Status, media type and encoded body.
    pub(crate) answer: BackendResponse,
    /// The decoded body.
    pub(crate) body: Vec<u8>,
}

impl VerifiedAnswer {
    /// Decodes and verifies the body of `answer`. Returns `None` if it is truncated or corrupted.
    pub(crate) fn verify(answer: BackendResponse) -> Option<Self> {
        let body = answer.body.decode().ok()?;
        Some(Self { answer, body })
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub(crate) enum AttemptOutcome {
    /// A complete answer arrived.
    Done(VerifiedAnswer),
    /// The agent refused the request, which did not run and never will under this attempt.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
        /// Delay before a retry is worthwhile.
        retry: Duration,
    },
    /// No connection could be established, so nothing was sent.
    NotSent(String),
    /// The network round trip would take all the remaining time, so nothing was sent.
    NoTime,
    /// The backend server gave no complete answer; the request may have run.
    Failed(String),
    /// The connection was lost or the reply was invalid; the request may have run.
    Lost(String),
    /// The deadline passed; the request may have run.
    Late,
}

impl AttemptOutcome {
    /// Returns the size of the answer's body in bytes.
    pub(crate) fn bytes(&self) -> u64 {
        match self {
            Self::Done(verified) => verified.body.len() as u64,
            Self::Refused { .. }
            | Self::NotSent(_)
            | Self::NoTime
            | Self::Failed(_)
            | Self::Lost(_)
            | Self::Late => 0,
        }
    }
}

/// The destination of an attempt.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptTarget {
    /// The only incarnation that may accept the attempt.
    pub(crate) incarnation: Incarnation,
    /// The key, if the request must not run twice.
    pub(crate) key: Option<Key>,
}

/// Sends `call` over `link` once and waits for the answer.
pub(crate) async fn run_attempt(
    entry: &Entry,
    call: &Call,
    link: &Link,
    to: AttemptTarget,
) -> AttemptOutcome {
    let mut span = entry.tracer.start(Hop::EntryAttempt, Some(call.trace));
    span.note("incarnation", to.incarnation);
    let attempt = match entry
        .router
        .hop_budget_ms(&entry.members, call, to.incarnation)
    {
        Some(budget_ms) => {
            let params = AttemptParams {
                id: entry.next_attempt(),
                budget_ms,
                trace: span.context(),
            };
            send(entry, link, call.request(to, params), &call.deadline).await
        }
        None => AttemptOutcome::NoTime,
    };
    entry.metrics.count_attempt(&attempt);
    if !matches!(attempt, AttemptOutcome::Done(_)) {
        span.fail(format_args!("{attempt:?}"));
    }
    attempt
}

async fn send(
    entry: &Entry,
    link: &Link,
    request: ServeRequest,
    deadline: &Deadline,
) -> AttemptOutcome {
    let (id, incarnation) = (request.request, request.incarnation);
    let client = match deadline.run(link.client()).await {
        Ok(Ok(client)) => client,
        Ok(Err(error)) => {
            entry.members.condemn(incarnation);
            return AttemptOutcome::NotSent(error.to_string());
        }
        Err(_exceeded) => {
            return AttemptOutcome::NotSent("no connection came about in time".to_owned());
        }
    };
    match deadline.run(client.serve(request)).await {
        Ok(Ok(reply)) => {
            entry.members.update_load(incarnation, reply.load);
            classify_reply(reply, id, incarnation)
        }
        Ok(Err(error)) => {
            if !matches!(error, jsonrpsee::core::client::Error::Call(_)) {
                link.discard(&client).await;
                entry.members.condemn(incarnation);
            }
            AttemptOutcome::Lost(error.to_string())
        }
        Err(_exceeded) => AttemptOutcome::Late,
    }
}

fn classify_reply(reply: ServeReply, id: u64, incarnation: Incarnation) -> AttemptOutcome {
    if reply.request != id {
        log::error!(
            event = "reply_crossed", incarnation:%, expected = id, found = reply.request;
            "dropped a reply to another request"
        );
        return AttemptOutcome::Lost("the reply belongs to another request".to_owned());
    }
    match reply.result {
        ServeResult::Done(answer) => VerifiedAnswer::verify(answer).map_or_else(
            || {
                log::error!(event = "reply_damaged", incarnation:%, request = id; "dropped a corrupted reply");
                AttemptOutcome::Lost("the reply was truncated or corrupted".to_owned())
            },
            AttemptOutcome::Done,
        ),
        ServeResult::Refused { reason, retry_ms } => AttemptOutcome::Refused {
            reason,
            retry: Duration::from_millis(retry_ms),
        },
        ServeResult::Failed { reason } => AttemptOutcome::Failed(reason),
    }
}

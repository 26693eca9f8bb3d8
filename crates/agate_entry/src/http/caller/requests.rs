//! `/v1/requests`: urgent requests and their status.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{ClassName, Findings, Key, Outcome, clock};
use agate_telemetry::spans::{Hop, HopSpan};
use agate_wire::Blob;
use dropshot::{HttpError, Path, RequestContext, StreamingBody, endpoint};
use http::StatusCode;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::entry::{Entry, KEY_WINDOW};
use crate::http::body;
use crate::http::head::{self, Binding, Head, HeadRules};
use crate::http::reply::{self, Reply};
use crate::keys::{self, BindError};
use crate::urgent::key_status::{KnownStatus, Tombstone};
use crate::urgent::{Call, CallOutcome, Deadline, PriorSend, Ticket, bound, key_status, routed};

/// Retry delay where no better estimate is known.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

/// Time limit of a status query.
const STATUS_TIMEOUT: Duration = Duration::from_secs(3);

/// Path parameters.
#[derive(Debug, Deserialize, JsonSchema)]
pub(crate) struct RequestPath {
    /// The class when sending a request, the ticket when querying its status.
    target: String,
}

/// Serves one urgent request.
#[endpoint { method = POST, path = "/v1/requests/{target}" }]
pub(crate) async fn serve_request(
    context: RequestContext<Arc<Entry>>,
    path: Path<RequestPath>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let headers = context.request.headers();
    let mut span = entry
        .tracer
        .start(Hop::EntryRequest, head::read_trace(headers));
    let mut findings = Findings::new();
    let prior_send = head::prior_send(headers);
    let class = path.into_inner().target;
    let head = head::read(headers, &class, rules(entry), &mut findings);
    let limit = entry.limits.max_body_bytes;
    let received = match body::read(&entry.intake, input, limit, &mut findings).await {
        Ok(received) => received,
        Err(refusal) => {
            span.fail("busy");
            return Ok(refusal);
        }
    };
    // Counts only requests that are complete, which clients that stop short must not keep out.
    let Some(_open) = entry.drain.open() else {
        let call_outcome = CallOutcome::unsent(
            prior_send,
            "this entry has as many requests as it takes",
            DEFAULT_RETRY,
        );
        return Ok(reply_to(entry, &mut span, call_outcome));
    };
    let Some(head) = head.filter(|_| findings.is_empty()) else {
        span.fail("invalid");
        entry.metrics.count_invalid();
        return Ok(reply::invalid(&findings));
    };
    span.note("class", &head.class);
    let binding = head.binding;
    let call = to_call(entry, head, &received.bytes, &span, prior_send);
    let call_outcome = route(entry, &call, binding).await;
    entry.metrics.count_request(&call.class, &call_outcome);
    Ok(reply_to(entry, &mut span, call_outcome))
}

/// Returns the status of a request that was sent with a ticket.
#[endpoint { method = GET, path = "/v1/requests/{target}" }]
pub(crate) async fn request_fate(
    context: RequestContext<Arc<Entry>>,
    path: Path<RequestPath>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    Ok(show_key_status(entry, &path.into_inner().target, Tombstone::Skip).await)
}

/// Tombstones a request that was sent with a ticket unless it has started, and returns its status.
#[endpoint { method = DELETE, path = "/v1/requests/{target}" }]
pub(crate) async fn withhold_request(
    context: RequestContext<Arc<Entry>>,
    path: Path<RequestPath>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    Ok(show_key_status(entry, &path.into_inner().target, Tombstone::Write).await)
}

fn rules(entry: &Entry) -> HeadRules<'_> {
    HeadRules {
        signer: &entry.signer,
        now: clock::wall_millis(),
        key_window: KEY_WINDOW,
    }
}

fn to_call(entry: &Entry, head: Head, bytes: &[u8], span: &HopSpan, prior_send: PriorSend) -> Call {
    let policy = entry.preset().class(&head.class);
    let default_budget = Duration::from_millis(u64::from(policy.deadline_ms));
    let budget = head.deadline.unwrap_or(default_budget);
    Call {
        caller: head.caller,
        class: head.class,
        policy,
        media: head.media,
        body: Blob::new(bytes),
        length: bytes.len(),
        trace: span.context(),
        deadline: Deadline::after(budget, entry.drain.abort.clone()),
        prior_send,
    }
}

async fn route(entry: &Entry, call: &Call, binding: Binding) -> CallOutcome {
    if is_withdrawn(entry, &call.class) {
        return CallOutcome::unsent(call.prior_send, "the class is withdrawn", DEFAULT_RETRY);
    }
    entry.router.record_arrival(call, &entry.preset());
    match binding {
        Binding::Ticket(ticket) => bound::serve(entry, call, ticket).await,
        Binding::Key(key) => serve_key(entry, call, key).await,
        Binding::None if call.policy.repeatable => routed::serve_repeatable(entry, call).await,
        Binding::None => routed::serve_once(entry, call).await,
    }
}

async fn serve_key(entry: &Entry, call: &Call, key: Key) -> CallOutcome {
    let bound = call.deadline.run(keys::bind(entry, call, key)).await;
    match bound.unwrap_or(Err(BindError::Unknown)) {
        Ok(ticket) => bound::serve(entry, call, ticket).await,
        Err(error) => error.call_outcome(call),
    }
}

fn is_withdrawn(entry: &Entry, class: &ClassName) -> bool {
    entry.config.withdrawn(class, &[]).is_some()
}

fn reply_to(entry: &Entry, span: &mut HopSpan, call_outcome: CallOutcome) -> Reply {
    match call_outcome {
        CallOutcome::Done(verified) => reply::answer(&verified.answer, verified.body),
        CallOutcome::NotRun {
            reason,
            retry_after,
        } => {
            span.fail(&reason);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reply = reply::problem(status, "not-run", &reason);
            let retry_after = if retry_after.is_zero() {
                DEFAULT_RETRY
            } else {
                retry_after
            };
            reply::with_retry(reply::with_outcome(reply, Outcome::NotRun), retry_after)
        }
        CallOutcome::Unanswered { reason, ticket } => {
            span.fail(&reason);
            let reply = reply::problem(StatusCode::BAD_GATEWAY, "no-answer", &reason);
            with_status_hint(entry, reply, ticket)
        }
        CallOutcome::Unknown { reason, ticket } => {
            span.fail(&reason);
            let reply = reply::problem(StatusCode::GATEWAY_TIMEOUT, "unknown", &reason);
            with_status_hint(entry, reply, ticket)
        }
    }
}

/// Adds the retry delay and the ticket for querying the request's status.
fn with_status_hint(entry: &Entry, reply: Reply, ticket: Option<Ticket>) -> Reply {
    let reply = reply::with_retry(reply::with_outcome(reply, Outcome::Unknown), DEFAULT_RETRY);
    match ticket {
        Some(ticket) => reply::with_ticket(reply, &entry.signer.sign(&ticket)),
        None => reply,
    }
}

/// Status of a request that has no answer.
#[derive(Debug, Serialize)]
struct KeyStatusView<'a> {
    fate: &'a str,
    message: &'a str,
}

async fn show_key_status(entry: &Entry, text: &str, tombstone: Tombstone) -> Reply {
    let mut findings = Findings::new();
    let Some(ticket) = head::read_ticket("path.ticket", text, rules(entry), &mut findings) else {
        return reply::invalid(&findings);
    };
    let deadline = Deadline::after(STATUS_TIMEOUT, entry.drain.abort.clone());
    let link = entry.link(ticket.incarnation, ticket.address);
    let known_status = key_status::query(&link, ticket, tombstone, Duration::ZERO, &deadline).await;
    let reply = match known_status {
        KnownStatus::Done(verified) => return reply::answer(&verified.answer, verified.body),
        KnownStatus::NotRun => {
            key_status_reply(Outcome::NotRun, "not-run", "it did not run and never will")
        }
        KnownStatus::Pending => {
            key_status_reply(Outcome::Unknown, "pending", "it has not started, and may")
        }
        KnownStatus::Running => key_status_reply(Outcome::Unknown, "running", "it is running"),
        KnownStatus::Unanswered(reason) => key_status_reply(Outcome::Unknown, "no-answer", &reason),
        KnownStatus::Gone => key_status_reply(
            Outcome::Unknown,
            "unknown",
            "the agent that it was bound to is gone",
        ),
        KnownStatus::Unreachable(reason) => key_status_reply(Outcome::Unknown, "unknown", &reason),
    };
    reply::with_retry(reply, DEFAULT_RETRY)
}

fn key_status_reply(outcome: Outcome, fate: &str, message: &str) -> Reply {
    let view = KeyStatusView { fate, message };
    reply::with_outcome(reply::json(StatusCode::OK, &view), outcome)
}

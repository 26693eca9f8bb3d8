//! `/v1/requests`: urgent requests and their fate.

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
use crate::urgent::fate::{KnownFate, Tombstone};
use crate::urgent::{Call, Deadline, Ending, Sent, Ticket, bound, chosen, fate};

/// When a caller is told to come back if nothing better is known.
const RETRY: Duration = Duration::from_secs(1);

/// Time allowed for a fate query.
const FATE_TIME: Duration = Duration::from_secs(3);

/// The variable part of the path.
#[derive(Debug, Deserialize, JsonSchema)]
pub(crate) struct RequestPath {
    /// The class of a request that is sent, or the ticket of one that is asked about.
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
    let sent = head::sent(headers);
    let Some(_open) = entry.drain.open() else {
        let ending = Ending::unsent(sent, "this entry has as many requests as it takes", RETRY);
        return Ok(reply_to(entry, &mut span, ending));
    };
    let class = path.into_inner().target;
    let head = head::read(headers, &class, rules(entry), &mut findings);
    let bytes = body::read(input, entry.limits.max_body_bytes, &mut findings).await;
    let Some(head) = head.filter(|_| findings.is_empty()) else {
        span.fail("invalid");
        entry.metrics.invalid();
        return Ok(reply::invalid(&findings));
    };
    span.note("class", &head.class);
    let binding = head.binding;
    let call = to_call(entry, head, &bytes, &span, sent);
    let ending = route(entry, &call, binding).await;
    entry.metrics.request(&call.class, &ending);
    Ok(reply_to(entry, &mut span, ending))
}

/// Tells what became of a request that was sent with a ticket.
#[endpoint { method = GET, path = "/v1/requests/{target}" }]
pub(crate) async fn request_fate(
    context: RequestContext<Arc<Entry>>,
    path: Path<RequestPath>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    Ok(tell_fate(entry, &path.into_inner().target, Tombstone::Leave).await)
}

/// Keeps a request that was sent with a ticket from starting, and tells what became of it.
#[endpoint { method = DELETE, path = "/v1/requests/{target}" }]
pub(crate) async fn withhold_request(
    context: RequestContext<Arc<Entry>>,
    path: Path<RequestPath>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    Ok(tell_fate(entry, &path.into_inner().target, Tombstone::Plant).await)
}

fn rules(entry: &Entry) -> HeadRules<'_> {
    HeadRules {
        signer: &entry.signer,
        now: clock::wall_millis(),
        window: KEY_WINDOW,
    }
}

fn to_call(entry: &Entry, head: Head, bytes: &[u8], span: &HopSpan, sent: Sent) -> Call {
    let policy = entry.preset().class(&head.class);
    let usual = Duration::from_millis(u64::from(policy.deadline_ms));
    let budget = head.deadline.unwrap_or(usual);
    Call {
        caller: head.caller,
        class: head.class,
        policy,
        media: head.media,
        body: Blob::new(bytes),
        length: bytes.len(),
        trace: span.context(),
        deadline: Deadline::after(budget, entry.drain.abort.clone()),
        sent,
    }
}

async fn route(entry: &Entry, call: &Call, binding: Binding) -> Ending {
    if is_withdrawn(entry, &call.class) {
        return Ending::unsent(call.sent, "the class is withdrawn", RETRY);
    }
    entry.router.arrived(call, &entry.preset());
    match binding {
        Binding::Ticket(ticket) => bound::serve(entry, call, ticket).await,
        Binding::Key(key) => serve_key(entry, call, key).await,
        Binding::None if call.policy.repeatable => chosen::serve_repeatable(entry, call).await,
        Binding::None => chosen::serve_once(entry, call).await,
    }
}

async fn serve_key(entry: &Entry, call: &Call, key: Key) -> Ending {
    let bound = call.deadline.run(keys::bind(entry, call, key)).await;
    match bound.unwrap_or(Err(BindError::Unknown)) {
        Ok(ticket) => bound::serve(entry, call, ticket).await,
        Err(error) => error.ending(call),
    }
}

fn is_withdrawn(entry: &Entry, class: &ClassName) -> bool {
    entry.config.withdrawn(class, &[]).is_some()
}

fn reply_to(entry: &Entry, span: &mut HopSpan, ending: Ending) -> Reply {
    match ending {
        Ending::Done(whole) => reply::answer(&whole.answer, whole.body),
        Ending::NotRun { reason, retry } => {
            span.fail(&reason);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reply = reply::problem(status, "not-run", &reason);
            let retry = if retry.is_zero() { RETRY } else { retry };
            reply::with_retry(reply::with_outcome(reply, Outcome::NotRun), retry)
        }
        Ending::Unanswered { reason, ticket } => {
            span.fail(&reason);
            let reply = reply::problem(StatusCode::BAD_GATEWAY, "no-answer", &reason);
            with_fate(entry, reply, ticket)
        }
        Ending::Unknown { reason, ticket } => {
            span.fail(&reason);
            let reply = reply::problem(StatusCode::GATEWAY_TIMEOUT, "unknown", &reason);
            with_fate(entry, reply, ticket)
        }
    }
}

/// Tells the caller how and when to ask again what became of the request.
fn with_fate(entry: &Entry, reply: Reply, ticket: Option<Ticket>) -> Reply {
    let reply = reply::with_retry(reply::with_outcome(reply, Outcome::Unknown), RETRY);
    match ticket {
        Some(ticket) => reply::with_ticket(reply, &entry.signer.sign(&ticket)),
        None => reply,
    }
}

/// State of a request that has no answer yet or never will.
#[derive(Debug, Serialize)]
struct FateView<'a> {
    fate: &'a str,
    message: &'a str,
}

async fn tell_fate(entry: &Entry, text: &str, tombstone: Tombstone) -> Reply {
    let mut findings = Findings::new();
    let Some(ticket) = head::read_ticket("path.ticket", text, rules(entry), &mut findings) else {
        return reply::invalid(&findings);
    };
    let deadline = Deadline::after(FATE_TIME, entry.drain.abort.clone());
    let link = entry.link(ticket.incarnation, ticket.address);
    let known = fate::ask(&link, ticket, tombstone, Duration::ZERO, &deadline).await;
    let reply = match known {
        KnownFate::Done(whole) => return reply::answer(&whole.answer, whole.body),
        KnownFate::NotRun => {
            fate_reply(Outcome::NotRun, "not-run", "it did not run and never will")
        }
        KnownFate::Pending => {
            fate_reply(Outcome::Unknown, "pending", "it has not started, and may")
        }
        KnownFate::Running => fate_reply(Outcome::Unknown, "running", "it is running"),
        KnownFate::Unanswered(reason) => fate_reply(Outcome::Unknown, "no-answer", &reason),
        KnownFate::Gone => fate_reply(
            Outcome::Unknown,
            "unknown",
            "the agent that it was bound to is gone",
        ),
        KnownFate::Unreachable(reason) => fate_reply(Outcome::Unknown, "unknown", &reason),
    };
    reply::with_retry(reply, RETRY)
}

fn fate_reply(outcome: Outcome, fate: &str, message: &str) -> Reply {
    let view = FateView { fate, message };
    reply::with_outcome(reply::json(StatusCode::OK, &view), outcome)
}

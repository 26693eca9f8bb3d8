//! One attempt to have a request served by one incarnation.

use std::time::Duration;

use agate_core::{Incarnation, Key};
use agate_telemetry::spans::Hop;
use agate_wire::message::{BackendResponse, Refusal, ServeReply, ServeRequest, ServeResult};
use agate_wire::rpc::AgentRpcClient;

use super::call::Sending;
use super::{Call, Deadline};
use crate::entry::Entry;
use crate::rpc::Link;

/// A whole answer whose body has been checked.
#[derive(Debug, Clone)]
pub(crate) struct WholeAnswer {
    /// Status, media type and wrapped body.
    pub(crate) answer: BackendResponse,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl WholeAnswer {
    /// Checks the body of `answer`; `None` if it is cut short or damaged.
    pub(crate) fn check(answer: BackendResponse) -> Option<Self> {
        let body = answer.body.decode().ok()?;
        Some(Self { answer, body })
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The whole answer arrived.
    Done(WholeAnswer),
    /// The agent refused: this attempt did not run and never will.
    Refused {
        /// Why.
        reason: Refusal,
        /// When it is worth coming back.
        retry: Duration,
    },
    /// No connection came about, so that nothing was sent.
    NotSent(String),
    /// The way there and back would have taken all the time left, so that nothing was sent.
    NoTime,
    /// The backend server gave no whole answer; the request may have run.
    Failed(String),
    /// The connection was lost, or what arrived was not the answer; the request may have run.
    Lost(String),
    /// Time ran out; the request may have run.
    Late,
}

impl Attempt {
    /// Bytes received in answers, as they crossed the border.
    pub(crate) fn bytes(&self) -> u64 {
        match self {
            Self::Done(whole) => whole.body.len() as u64,
            Self::Refused { .. }
            | Self::NotSent(_)
            | Self::NoTime
            | Self::Failed(_)
            | Self::Lost(_)
            | Self::Late => 0,
        }
    }
}

/// Whom an attempt is sent to.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Addressee {
    /// The incarnation that alone may take it.
    pub(crate) incarnation: Incarnation,
    /// The key, if the request may not be repeated.
    pub(crate) key: Option<Key>,
}

/// Sends `call` over `link` once and waits for its answer.
pub(crate) async fn try_once(entry: &Entry, call: &Call, link: &Link, to: Addressee) -> Attempt {
    let mut span = entry.tracer.start(Hop::EntryAttempt, Some(call.trace));
    span.note("incarnation", to.incarnation);
    let attempt = match entry.router.budget(&entry.members, call, to.incarnation) {
        Some(budget_ms) => {
            let sending = Sending {
                id: entry.next_attempt(),
                budget_ms,
                trace: span.context(),
            };
            send(entry, link, call.request(to, sending), &call.deadline).await
        }
        None => Attempt::NoTime,
    };
    entry.metrics.attempt(&attempt);
    if !matches!(attempt, Attempt::Done(_)) {
        span.fail(format_args!("{attempt:?}"));
    }
    attempt
}

async fn send(entry: &Entry, link: &Link, request: ServeRequest, deadline: &Deadline) -> Attempt {
    let (id, incarnation) = (request.request, request.incarnation);
    let client = match deadline.run(link.client()).await {
        Ok(Ok(client)) => client,
        Ok(Err(error)) => {
            entry.members.condemn(incarnation);
            return Attempt::NotSent(error.to_string());
        }
        Err(_passed) => return Attempt::NotSent("no connection came about in time".to_owned()),
    };
    match deadline.run(client.serve(request)).await {
        Ok(Ok(reply)) => {
            entry.members.read_load(incarnation, reply.load);
            judge(reply, id, incarnation)
        }
        Ok(Err(error)) => {
            if !matches!(error, jsonrpsee::core::client::Error::Call(_)) {
                link.condemn(&client).await;
                entry.members.condemn(incarnation);
            }
            Attempt::Lost(error.to_string())
        }
        Err(_passed) => Attempt::Late,
    }
}

fn judge(reply: ServeReply, id: u64, incarnation: Incarnation) -> Attempt {
    if reply.request != id {
        log::error!(
            event = "reply_crossed", incarnation:%, expected = id, found = reply.request;
            "a reply to another request was dropped"
        );
        return Attempt::Lost("the reply belongs to another request".to_owned());
    }
    match reply.result {
        ServeResult::Done(answer) => WholeAnswer::check(answer).map_or_else(
            || {
                log::error!(event = "reply_damaged", incarnation:%, request = id; "a reply was dropped");
                Attempt::Lost("the reply was cut short or damaged".to_owned())
            },
            Attempt::Done,
        ),
        ServeResult::Refused { reason, retry_ms } => Attempt::Refused {
            reason,
            retry: Duration::from_millis(retry_ms),
        },
        ServeResult::Failed { reason } => Attempt::Failed(reason),
    }
}

//! Requests bound to one incarnation.

use std::time::Duration;

use agate_wire::message::Refusal;
use tokio::time::Instant;

use super::attempt::{AttemptOutcome, AttemptTarget, run_attempt};
use super::call::{Call, CallOutcome, PriorSend};
use super::key_status::{KnownStatus, Tombstone, resolve};
use super::router::FinishedAttempt;
use super::{Deadline, Ticket};
use crate::entry::Entry;
use crate::members::Target;
use crate::rpc::Link;

/// Delay before another connection attempt.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Remaining time below which a key that has not started is tombstoned instead of retried, so that
/// the caller gets a definite outcome rather than "unknown".
const TOMBSTONE_THRESHOLD: Duration = Duration::from_millis(100);

/// Message for a request that was not sent because too little time was left.
pub(crate) const NO_TIME: &str = "the way to the backend server takes longer than the time left";

/// Serves `call` at the incarnation that `ticket` names, and at no other.
///
/// The agent runs a key at most once, so the key may be resent to the same incarnation. Its status
/// is queried before a resend.
pub(crate) async fn serve(entry: &Entry, call: &Call, ticket: Ticket) -> CallOutcome {
    let link = entry.link(ticket.incarnation, ticket.address);
    let first = send(entry, call, &link, ticket).await;
    run_to_end(entry, call, &link, ticket, first).await
}

/// Serves `call` at a member that the router has chosen, and reports the first attempt to the
/// router.
pub(crate) async fn serve_chosen(
    entry: &Entry,
    call: &Call,
    target: Target,
    ticket: Ticket,
) -> CallOutcome {
    let link = entry.link(ticket.incarnation, ticket.address);
    let started = Instant::now();
    let first = send(entry, call, &link, ticket).await;
    let finished = FinishedAttempt {
        target,
        attempt: &first,
        elapsed: started.elapsed(),
    };
    entry.router.record_end(&entry.members, call, finished);
    run_to_end(entry, call, &link, ticket, first).await
}

async fn send(entry: &Entry, call: &Call, link: &Link, ticket: Ticket) -> AttemptOutcome {
    let to = AttemptTarget {
        incarnation: ticket.incarnation,
        key: Some(ticket.key),
    };
    run_attempt(entry, call, link, to).await
}

/// Retries and queries the key's status until the outcome is decided or time runs out.
async fn run_to_end(
    entry: &Entry,
    call: &Call,
    link: &Link,
    ticket: Ticket,
    first: AttemptOutcome,
) -> CallOutcome {
    let mut prior_send = call.prior_send;
    let mut attempt = first;
    loop {
        match attempt {
            AttemptOutcome::Done(verified) => return CallOutcome::Done(verified),
            AttemptOutcome::Refused { reason, retry } => {
                return refusal_outcome(ticket, reason, retry, prior_send);
            }
            AttemptOutcome::Failed(reason) => {
                return CallOutcome::Unanswered {
                    reason,
                    ticket: Some(ticket),
                };
            }
            AttemptOutcome::NotSent(reason) => {
                if prior_send == PriorSend::Never {
                    return CallOutcome::NotRun {
                        reason,
                        retry_after: RETRY_PAUSE,
                    };
                }
                if call.deadline.sleep(RETRY_PAUSE).await.is_err() {
                    return unknown(reason, ticket);
                }
            }
            AttemptOutcome::NoTime => return no_time_outcome(prior_send, ticket),
            AttemptOutcome::Late => return unknown("no answer arrived in time", ticket),
            AttemptOutcome::Lost(reason) => {
                prior_send = PriorSend::Possible;
                if let Some(outcome) = resolve_loss(link, ticket, reason, &call.deadline).await {
                    return outcome;
                }
            }
        }
        attempt = send(entry, call, link, ticket).await;
    }
}

/// Queries the key's status after a lost answer. Returns `None` if the key has not started and may
/// be resent.
async fn resolve_loss(
    link: &Link,
    ticket: Ticket,
    reason: String,
    deadline: &Deadline,
) -> Option<CallOutcome> {
    log::warn!(event = "fate_asked", key:% = ticket.key, incarnation:% = ticket.incarnation, reason; "");
    let tombstone = if deadline.remaining() < TOMBSTONE_THRESHOLD {
        Tombstone::Write
    } else {
        Tombstone::Skip
    };
    match resolve(link, ticket, tombstone, deadline).await {
        KnownStatus::Pending if !deadline.remaining().is_zero() => None,
        known => Some(status_outcome(known, ticket)),
    }
}

/// Returns the outcome that a refusal proves. An agent tombstones a key before it refuses it, so no
/// other copy of the key can run. If the incarnation is gone or the key is too old to be
/// remembered, earlier copies may still have run.
fn refusal_outcome(
    ticket: Ticket,
    reason: Refusal,
    retry_after: Duration,
    prior_send: PriorSend,
) -> CallOutcome {
    let text = refusal_message(reason);
    match (prior_send, reason) {
        (PriorSend::Possible, Refusal::Gone | Refusal::KeyTooOld) => unknown(text, ticket),
        (
            PriorSend::Never | PriorSend::Possible,
            Refusal::Full
            | Refusal::Late
            | Refusal::Unreachable
            | Refusal::Leaving
            | Refusal::Withdrawn
            | Refusal::Tombstoned
            | Refusal::KeyTooOld
            | Refusal::Gone
            | Refusal::Malformed,
        ) => CallOutcome::NotRun {
            reason: text.to_owned(),
            retry_after,
        },
    }
}

/// Converts the last known status of a key into the caller's outcome.
pub(crate) fn status_outcome(known: KnownStatus, ticket: Ticket) -> CallOutcome {
    match known {
        KnownStatus::Done(verified) => CallOutcome::Done(verified),
        KnownStatus::NotRun => CallOutcome::NotRun {
            reason: "the request was kept from starting".to_owned(),
            retry_after: RETRY_PAUSE,
        },
        KnownStatus::Pending => unknown("the request has not started, and may", ticket),
        KnownStatus::Running => unknown("the request is still running", ticket),
        KnownStatus::Unanswered(reason) => CallOutcome::Unanswered {
            reason,
            ticket: Some(ticket),
        },
        KnownStatus::Gone => unknown("the agent that the request was bound to is gone", ticket),
        KnownStatus::Unreachable(reason) => unknown(reason, ticket),
    }
}

fn no_time_outcome(prior_send: PriorSend, ticket: Ticket) -> CallOutcome {
    match prior_send {
        PriorSend::Never => CallOutcome::NotRun {
            reason: NO_TIME.to_owned(),
            retry_after: RETRY_PAUSE,
        },
        PriorSend::Possible => unknown(NO_TIME, ticket),
    }
}

fn unknown(reason: impl Into<String>, ticket: Ticket) -> CallOutcome {
    CallOutcome::Unknown {
        reason: reason.into(),
        ticket: Some(ticket),
    }
}

/// Returns the caller's message for an agent's refusal.
pub(crate) const fn refusal_message(reason: Refusal) -> &'static str {
    match reason {
        Refusal::Full => "every slot and every place in the queue is taken",
        Refusal::Late => "the deadline can't be met",
        Refusal::Unreachable => "the backend server can't be reached by its agent",
        Refusal::Leaving => "the agent is leaving",
        Refusal::Withdrawn => "the class or a tag is withdrawn",
        Refusal::Tombstoned => "the key was kept from starting by an earlier query; use a new key",
        Refusal::KeyTooOld => "the key is older than the window in which keys are remembered",
        Refusal::Gone => "the agent that the request was bound to is gone",
        Refusal::Malformed => "the agent could not read the message",
    }
}

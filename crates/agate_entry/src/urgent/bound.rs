//! Requests that are bound to one incarnation.

use std::time::Duration;

use agate_wire::message::Refusal;
use tokio::time::Instant;

use super::attempt::{Addressee, Attempt, try_once};
use super::call::{Call, Ending, Sent};
use super::fate::{KnownFate, Tombstone, settle};
use super::router::Trip;
use super::{Deadline, Ticket};
use crate::entry::Entry;
use crate::members::Target;
use crate::rpc::Link;

/// Time between two attempts over connections that could not be made.
const PAUSE: Duration = Duration::from_millis(50);

/// Time left below which a key that has not started is tombstoned rather than waited for, so that
/// the caller gets a proof instead of "unknown".
const PROOF_TIME: Duration = Duration::from_millis(100);

/// Told to a caller whose request was not sent for want of time.
pub(crate) const NO_TIME: &str = "the way to the backend server takes longer than the time left";

/// Serves `call` at the incarnation that `ticket` names, and nowhere else.
///
/// The agent runs a key at most once, so the same key may be sent to the same incarnation again;
/// before it is, its fate is asked.
pub(crate) async fn serve(entry: &Entry, call: &Call, ticket: Ticket) -> Ending {
    let link = entry.link(ticket.incarnation, ticket.address);
    let first = send(entry, call, &link, ticket).await;
    follow(entry, call, &link, ticket, first).await
}

/// Serves `call` at a member that the router has chosen, and lets the router learn from it.
pub(crate) async fn serve_chosen(
    entry: &Entry,
    call: &Call,
    target: Target,
    ticket: Ticket,
) -> Ending {
    let link = entry.link(ticket.incarnation, ticket.address);
    let started = Instant::now();
    let first = send(entry, call, &link, ticket).await;
    let trip = Trip {
        target,
        attempt: &first,
        took: started.elapsed(),
    };
    entry.router.ended(&entry.members, call, trip);
    follow(entry, call, &link, ticket, first).await
}

async fn send(entry: &Entry, call: &Call, link: &Link, ticket: Ticket) -> Attempt {
    let to = Addressee {
        incarnation: ticket.incarnation,
        key: Some(ticket.key),
    };
    try_once(entry, call, link, to).await
}

/// Follows the first attempt to the end of the request.
async fn follow(entry: &Entry, call: &Call, link: &Link, ticket: Ticket, first: Attempt) -> Ending {
    let mut sent = call.sent;
    let mut attempt = first;
    loop {
        match attempt {
            Attempt::Done(whole) => return Ending::Done(whole),
            Attempt::Refused { reason, retry } => {
                return refused(ticket, reason, retry, sent);
            }
            Attempt::Failed(reason) => {
                return Ending::Unanswered {
                    reason,
                    ticket: Some(ticket),
                };
            }
            Attempt::NotSent(reason) => {
                if sent == Sent::First {
                    return Ending::NotRun {
                        reason,
                        retry: PAUSE,
                    };
                }
                if call.deadline.pause(PAUSE).await.is_err() {
                    return unknown(reason, ticket);
                }
            }
            Attempt::NoTime => return unsent(sent, ticket),
            Attempt::Late => return unknown("no answer arrived in time", ticket),
            Attempt::Lost(reason) => {
                sent = Sent::Maybe;
                if let Some(ending) = after_loss(link, ticket, reason, &call.deadline).await {
                    return ending;
                }
            }
        }
        attempt = send(entry, call, link, ticket).await;
    }
}

/// Asks the fate after a loss. `None` means that the key has not started and may be sent again.
async fn after_loss(
    link: &Link,
    ticket: Ticket,
    reason: String,
    deadline: &Deadline,
) -> Option<Ending> {
    log::warn!(event = "fate_asked", key:% = ticket.key, incarnation:% = ticket.incarnation, reason; "");
    let tombstone = if deadline.left() < PROOF_TIME {
        Tombstone::Plant
    } else {
        Tombstone::Leave
    };
    match settle(link, ticket, tombstone, deadline).await {
        KnownFate::Pending if !deadline.left().is_zero() => None,
        known => Some(ending(known, ticket)),
    }
}

/// What a refusal proves. An agent that refuses a key tombstones it first, so that no other copy of
/// the key can run; but an incarnation that is gone, or a key too old to be remembered, proves
/// nothing about earlier copies.
fn refused(ticket: Ticket, reason: Refusal, retry: Duration, sent: Sent) -> Ending {
    let text = refusal_text(reason);
    match (sent, reason) {
        (Sent::Maybe, Refusal::Gone | Refusal::KeyTooOld) => unknown(text, ticket),
        (
            Sent::First | Sent::Maybe,
            Refusal::Full
            | Refusal::Late
            | Refusal::Unreachable
            | Refusal::Leaving
            | Refusal::Withdrawn
            | Refusal::Tombstoned
            | Refusal::KeyTooOld
            | Refusal::Gone
            | Refusal::Malformed,
        ) => Ending::NotRun {
            reason: text.to_owned(),
            retry,
        },
    }
}

/// What the caller is told about a key whose fate is as known as it gets.
pub(crate) fn ending(known: KnownFate, ticket: Ticket) -> Ending {
    match known {
        KnownFate::Done(whole) => Ending::Done(whole),
        KnownFate::NotRun => Ending::NotRun {
            reason: "the request was kept from starting".to_owned(),
            retry: PAUSE,
        },
        KnownFate::Pending => unknown("the request has not started, and may", ticket),
        KnownFate::Running => unknown("the request is still running", ticket),
        KnownFate::Unanswered(reason) => Ending::Unanswered {
            reason,
            ticket: Some(ticket),
        },
        KnownFate::Gone => unknown("the agent that the request was bound to is gone", ticket),
        KnownFate::Unreachable(reason) => unknown(reason, ticket),
    }
}

fn unsent(sent: Sent, ticket: Ticket) -> Ending {
    match sent {
        Sent::First => Ending::NotRun {
            reason: NO_TIME.to_owned(),
            retry: PAUSE,
        },
        Sent::Maybe => unknown(NO_TIME, ticket),
    }
}

fn unknown(reason: impl Into<String>, ticket: Ticket) -> Ending {
    Ending::Unknown {
        reason: reason.into(),
        ticket: Some(ticket),
    }
}

/// Tells a caller why an agent refused.
pub(crate) const fn refusal_text(reason: Refusal) -> &'static str {
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

//! Requests whose member this entry chooses.

use agate_core::{Key, clock};
use agate_route::choose::RefusalReason;
use rand::Rng;

use super::attempt::Attempt;
use super::call::{Call, Ending};
use super::tried::Tried;
use super::{Ticket, bound, hedged};
use crate::entry::Entry;
use crate::members::Target;

/// Serves a request that may be repeated: attempts that fail are repeated elsewhere within the
/// budget.
pub(crate) async fn serve_repeatable(entry: &Entry, call: &Call) -> Ending {
    let mut tried = Tried::default();
    loop {
        let target = match tried.choose(entry, call) {
            Ok(target) => target,
            Err(ending) => return ending,
        };
        match hedged::serve(entry, call, &mut tried, target).await {
            Attempt::Done(whole) => return Ending::Done(whole),
            Attempt::Late => return tried.unknown("no answer arrived in time"),
            attempt => tried.note(attempt),
        }
        if tried.pause(entry, call).await.is_err() {
            return tried.give_up();
        }
    }
}

/// Serves a request that may not be repeated and has no key of its caller. Each attempt gets a key
/// of its own, bound to the chosen incarnation; another is made only on proof that the one before
/// did not run.
pub(crate) async fn serve_once(entry: &Entry, call: &Call) -> Ending {
    let mut tried = Tried::default();
    loop {
        let target = match tried.choose(entry, call) {
            Ok(target) => target,
            Err(ending) => return ending,
        };
        match bound::serve_chosen(entry, call, target, ticket_for(target)).await {
            Ending::NotRun { reason, retry } => tried.not_run(reason, retry),
            ending => return ending,
        }
        if tried.pause(entry, call).await.is_err() {
            return tried.give_up();
        }
    }
}

/// Binds a new key to a member.
pub(crate) fn ticket_for(target: Target) -> Ticket {
    Ticket {
        key: Key::from_parts(clock::wall_millis(), rand::rng().random()),
        incarnation: target.incarnation,
        address: target.address,
    }
}

/// Tells a caller why no member was chosen.
pub(crate) const fn none_text(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoMember => "no backend server that serves the class is known",
        RefusalReason::Busy => "every backend server that serves the class is busy",
        RefusalReason::Late => "no backend server is expected to answer before the deadline",
        RefusalReason::Link => "only another region could answer, and the link to it is used up",
    }
}

//! Requests that this entry routes to a member.

use agate_core::{Key, clock};
use agate_route::choose::RefusalReason;
use rand::Rng;

use super::attempt::AttemptOutcome;
use super::call::{Call, CallOutcome};
use super::history::AttemptHistory;
use super::{Ticket, bound, hedged};
use crate::entry::Entry;
use crate::members::Target;

/// Serves a repeatable request. Failed attempts are retried at other members within the retry
/// budget.
pub(crate) async fn serve_repeatable(entry: &Entry, call: &Call) -> CallOutcome {
    let mut history = AttemptHistory::default();
    loop {
        let target = match history.choose(entry, call) {
            Ok(target) => target,
            Err(outcome) => return outcome,
        };
        match hedged::serve(entry, call, &mut history, target).await {
            AttemptOutcome::Done(verified) => return CallOutcome::Done(verified),
            AttemptOutcome::Late => return history.finish_unknown("no answer arrived in time"),
            attempt => history.record(attempt),
        }
        if history.back_off(entry, call).await.is_err() {
            return history.finish();
        }
    }
}

/// Serves a request that must not run twice and has no key from its caller. Each attempt gets its
/// own key, bound to the chosen member; a retry requires proof that the previous attempt did not
/// run.
pub(crate) async fn serve_once(entry: &Entry, call: &Call) -> CallOutcome {
    let mut history = AttemptHistory::default();
    loop {
        let target = match history.choose(entry, call) {
            Ok(target) => target,
            Err(outcome) => return outcome,
        };
        match bound::serve_chosen(entry, call, target, new_ticket(target)).await {
            CallOutcome::NotRun {
                reason,
                retry_after,
            } => history.record_not_run(reason, retry_after),
            outcome => return outcome,
        }
        if history.back_off(entry, call).await.is_err() {
            return history.finish();
        }
    }
}

/// Creates a ticket that binds a new key to `target`.
pub(crate) fn new_ticket(target: Target) -> Ticket {
    Ticket {
        key: Key::from_parts(clock::wall_millis(), rand::rng().random()),
        incarnation: target.incarnation,
        address: target.address,
    }
}

/// Returns the caller's message for a routing refusal.
pub(crate) const fn no_target_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::NoMember => "no backend server that serves the class is known",
        RefusalReason::Busy => "every backend server that serves the class is busy",
        RefusalReason::Late => "no backend server is expected to answer before the deadline",
        RefusalReason::Link => "only another region could answer, and the link to it is used up",
    }
}

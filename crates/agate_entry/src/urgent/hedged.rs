//! A second attempt while the first of a repeatable request has not been answered.

use futures::future::{Either, select};
use tokio::time::Instant;

use super::attempt::{Addressee, Attempt, try_once};
use super::call::Call;
use super::router::Trip;
use super::tried::Tried;
use crate::entry::Entry;
use crate::members::Target;

/// Sends `call` to `target`, and to another member as well if the answer takes unusually long.
///
/// Returns the whole answer that came first, or else how the last of the attempts ended; the end of
/// the other one is noted in `tried`.
pub(super) async fn serve(
    entry: &Entry,
    call: &Call,
    tried: &mut Tried,
    target: Target,
) -> Attempt {
    let mut first = Box::pin(attempt_at(entry, call, target));
    let hedge = tokio::select! {
        biased;
        attempt = &mut first => return attempt,
        hedge = hedge_target(entry, call, tried) => hedge,
    };
    let Some(hedge) = hedge else {
        return first.await;
    };
    log::debug!(event = "hedge_sent", incarnation:% = hedge.incarnation; "");
    let second = Box::pin(attempt_at(entry, call, hedge));
    let (attempt, rest, open) = match select(first, second).await {
        Either::Left((attempt, rest)) => (attempt, Either::Left(rest), hedge),
        Either::Right((attempt, rest)) => (attempt, Either::Right(rest), target),
    };
    if matches!(attempt, Attempt::Done(_)) {
        entry.router.abandoned(&entry.members, open);
        return attempt;
    }
    tried.note(attempt);
    rest.await
}

/// Sends `call` to a member that the router has chosen, and lets the router learn from it.
async fn attempt_at(entry: &Entry, call: &Call, target: Target) -> Attempt {
    let to = Addressee {
        incarnation: target.incarnation,
        key: None,
    };
    let link = entry.link(target.incarnation, target.address);
    let started = Instant::now();
    let attempt = try_once(entry, call, &link, to).await;
    let trip = Trip {
        target,
        attempt: &attempt,
        took: started.elapsed(),
    };
    entry.router.ended(&entry.members, call, trip);
    attempt
}

/// Waits until a hedge is due; `None` if there is to be none.
async fn hedge_target(entry: &Entry, call: &Call, tried: &mut Tried) -> Option<Target> {
    let wait = entry.router.hedge_wait(call)?;
    call.deadline.pause(wait).await.ok()?;
    let preset = entry.preset();
    if !entry.router.hedge(call, &preset, tried.attempts()) {
        return None;
    }
    tried.choose_another(entry, call)
}

//! Hedged attempts for repeatable requests.

use futures::future::{Either, select};
use tokio::time::Instant;

use super::attempt::{AttemptOutcome, AttemptTarget, run_attempt};
use super::call::Call;
use super::history::AttemptHistory;
use super::router::FinishedAttempt;
use crate::entry::Entry;
use crate::members::Target;

/// Sends `call` to `target`, and also to a second member if the answer is slow.
///
/// Returns the first complete answer, or the outcome of the attempt that ended last; the other
/// outcome is recorded in `history`.
pub(super) async fn serve(
    entry: &Entry,
    call: &Call,
    history: &mut AttemptHistory,
    target: Target,
) -> AttemptOutcome {
    let mut first = Box::pin(attempt_at(entry, call, target));
    let hedge = tokio::select! {
        biased;
        attempt = &mut first => return attempt,
        hedge = hedge_target(entry, call, history) => hedge,
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
    if matches!(attempt, AttemptOutcome::Done(_)) {
        entry.router.record_abandoned(&entry.members, open);
        return attempt;
    }
    history.record(attempt);
    rest.await
}

/// Sends `call` to a member that the router has chosen, and reports the outcome to the router.
async fn attempt_at(entry: &Entry, call: &Call, target: Target) -> AttemptOutcome {
    let to = AttemptTarget {
        incarnation: target.incarnation,
        key: None,
    };
    let link = entry.link(target.incarnation, target.address);
    let started = Instant::now();
    let attempt = run_attempt(entry, call, &link, to).await;
    let finished = FinishedAttempt {
        target,
        attempt: &attempt,
        elapsed: started.elapsed(),
    };
    entry.router.record_end(&entry.members, call, finished);
    attempt
}

/// Waits until a hedge is due. Returns `None` if none should be sent.
async fn hedge_target(entry: &Entry, call: &Call, history: &mut AttemptHistory) -> Option<Target> {
    let wait = entry.router.hedge_delay(call)?;
    call.deadline.sleep(wait).await.ok()?;
    let preset = entry.preset();
    if !entry.router.should_hedge(call, &preset, history.attempts()) {
        return None;
    }
    history.choose_hedge(entry, call)
}

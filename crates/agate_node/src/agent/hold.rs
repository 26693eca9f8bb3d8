//! Extending a worker's lease.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::lease::ClockReading;
use agate_jobs::{Order, OrderKind, WorkerState};
use tokio::time::{sleep, timeout};

use super::held::{Held, Phase, State};
use super::port::{CallError, LeaseReply};
use super::{lists, pacing};
use crate::clock;
use crate::metrics::Event;

/// Longest wait of a call for an end; the lease is extended this often.
const WAIT: Duration = Duration::from_millis(500);

/// Longest wait while tasks that fill run beside tasks with a latency target: the pace follows
/// the half-second figures of the worker.
const MIXED_WAIT: Duration = Duration::from_millis(250);

/// Pause before the next call while ends that the worker lists are not yet on record.
const RECORDING_DELAY: Duration = Duration::from_millis(150);

/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Silence of a worker after which its lease is no longer extended, so that it lapses at some time.
const SILENCE: Duration = Duration::from_secs(2);

/// Time beyond the last lease after which a silent worker's runs count as lapsed.
const LAPSE_MARGIN: Duration = Duration::from_millis(200);

/// Calls the worker for as long as it is held.
pub(super) async fn run(held: Arc<Held>) {
    let mut failing = false;
    loop {
        if held.state().duty == WorkerState::Gone {
            return;
        }
        let began = clock::boottime();
        match call(&held).await {
            Ok(reply) => {
                if failing {
                    log::info!(event = "worker_regained", worker:% = held.state().life; "");
                }
                failing = false;
                lists::take(&held, &reply, began);
                pacing::adjust(&held, &reply).await;
            }
            Err(cause) => {
                if !failing {
                    let life = held.state().life.clone();
                    log::warn!(event = "worker_lost", worker:% = life, cause:% = cause; "");
                }
                failing = true;
                sleep(RETRY_DELAY).await;
            }
        }
        check_lapse(&held);
        wait_for_records(&held).await;
    }
}

/// Extends the lease as far as the evidence allows, without waiting for an end.
pub(super) async fn last(held: &Held) {
    let began = clock::boottime();
    if let Err(cause) = extend(held, Duration::ZERO).await {
        log::warn!(event = "last_hold_failed", cause:% = cause; "");
    }
    log::info!(
        event = "last_hold", worker:% = held.state().life,
        took_ms = clock::millis(clock::boottime().saturating_sub(began)); ""
    );
}

async fn call(held: &Held) -> Result<LeaseReply, String> {
    let wait = {
        let state = held.state();
        if !state.introduction.is_done() || state.clock.is_none() {
            Duration::ZERO
        } else if is_mixed(&state) {
            MIXED_WAIT
        } else {
            WAIT
        }
    };
    extend(held, wait).await
}

async fn extend(held: &Held, wait: Duration) -> Result<LeaseReply, String> {
    let (life, deadline, seen) = {
        let state = held.state();
        let now = clock::boottime();
        let until = held.allowed_until(&state).filter(|until| *until > now);
        let answers = state.silent_for(now) < SILENCE;
        let deadline = until.filter(|_| answers);
        let deadline = deadline.and_then(|until| Some(state.clock?.deadline(until)));
        (state.life.clone(), deadline, state.seen)
    };
    let reply = held.port.renew_lease(&life, deadline, seen, wait).await;
    let mut state = held.state();
    if let (Some(deadline), false) = (deadline, matches!(reply, Err(CallError::NotSent(_)))) {
        state.granted(deadline);
    }
    let reply = reply.map_err(|error| error.to_string())?;
    if reply.born.is_some_and(|born| born != life.born) {
        return Err(CallError::OtherLife.to_string());
    }
    state.clock = Some(ClockReading {
        worker_ms: reply.worker_ms,
        at: clock::boottime(),
    });
    Ok(reply)
}

fn is_mixed(state: &State) -> bool {
    let started = |order: &Order| {
        let run = state.runs.get(&order.task);
        run.is_some_and(|run| run.phase != Phase::Ended)
    };
    let mut fills = false;
    let mut serves = false;
    for order in state.orders.values().filter(|order| started(order)) {
        if let OrderKind::Start {
            fills: filling,
            target_ms,
            ..
        } = &order.kind
        {
            fills |= filling;
            serves |= *target_ms > 0;
        }
    }
    fills && serves
}

/// Takes note that everything on a silent worker has lapsed.
fn check_lapse(held: &Held) {
    let mut state = held.state();
    let now = clock::boottime();
    let silent_for = state.silent_for(now);
    let silent = silent_for > LAPSE_MARGIN + WAIT;
    let lapsed = now > state.lapses_at + LAPSE_MARGIN;
    let open = matches!(state.duty, WorkerState::Ready | WorkerState::Draining);
    if !(silent && lapsed && open) || state.unreachable {
        return;
    }
    held.context.metrics.count(Event::LeaseLapsed);
    log::warn!(
        event = "lease_lapsed", worker:% = state.life, runs = state.runs.len(),
        silent_ms = clock::millis(silent_for); "the worker does not answer"
    );
    state.unreachable = true;
    state.duty = WorkerState::Lapsed;
    state.reported = None;
    drop(state);
    held.changed.notify_waiters();
}

/// Leaves time for the record of listed ends, which the worker would list again at once, and for what
/// has to be settled before the worker is reported.
async fn wait_for_records(held: &Held) {
    let news = held.changed.notified();
    let open = {
        let state = held.state();
        state.recording > state.seen || !state.introduction.is_done()
    };
    if open {
        // Both ends of the wait lead to the next call.
        let _ = timeout(RECORDING_DELAY, news).await;
    }
}

//! Renews a worker's lease.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::lease::ClockReading;
use agate_jobs::{Order, OrderKind, WorkerState};
use tokio::time::{sleep, timeout};

use super::client::{CallError, LeaseReply};
use super::doubts::Doubt;
use super::identity::Identity;
use super::managed::{ManagedWorker, State};
use super::run::{Phase, Run};
use super::{follow, lists, pacing};
use crate::clock;
use crate::metrics::Event;

/// Longest wait of a call for the end of a run; the lease is renewed at this interval.
const RENEWAL_WAIT: Duration = Duration::from_millis(500);

/// Longest wait while best-effort tasks run beside tasks with a latency target: pacing relies on
/// figures that the worker takes over half a second.
const MIXED_RENEWAL_WAIT: Duration = Duration::from_millis(250);

/// Longest wait while a start without an answer is settled, which takes two lists.
const SETTLING_RENEWAL_WAIT: Duration = Duration::from_millis(50);

/// Longest wait while the worker is suspected. Once the suspicion is cleared, its lease is renewed with the
/// next call, which may be just before the lease lapses if the agent was restarted.
const SUSPECTED_RENEWAL_WAIT: Duration = Duration::from_millis(50);

/// Pause before the next call while listed ends are not yet recorded.
const RECORDING_DELAY: Duration = Duration::from_millis(150);

/// Pause after a call that failed.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Longest time from the message that a worker has left until it stops answering.
const DEPARTURE_TIME: Duration = Duration::from_secs(10);

/// Silence of a worker after which its lease is no longer renewed, so that it lapses eventually.
const MAX_SILENCE: Duration = Duration::from_secs(2);

/// Time after the expiry of the last lease from which on the runs of a silent worker count as
/// lapsed.
pub(super) const LAPSE_MARGIN: Duration = Duration::from_millis(200);

/// Calls the worker for as long as it is managed.
pub(super) async fn run(worker: Arc<ManagedWorker>) {
    let mut failing = false;
    loop {
        if worker.state().status == WorkerState::Gone {
            return;
        }
        let began = clock::boottime();
        match renew(&worker).await {
            Ok(reply) => {
                if failing {
                    log::info!(
                        event = "worker_regained", worker:% = worker.state().incarnation; ""
                    );
                }
                failing = false;
                lists::apply(&worker, &reply, began);
                pacing::adjust(&worker, &reply).await;
            }
            Err(cause) => {
                if !failing {
                    let incarnation = worker.state().incarnation.clone();
                    log::warn!(event = "worker_lost", worker:% = incarnation, cause:% = cause; "");
                }
                failing = true;
                sleep(RETRY_DELAY).await;
            }
        }
        check_lapse(&worker);
        wait_for_records(&worker).await;
    }
}

/// Renews the lease for as long as allowed, without waiting for the end of a run.
pub(super) async fn renew_last(worker: &ManagedWorker) {
    let began = clock::boottime();
    follow::refresh(worker).await;
    if let Err(cause) = send_renewal(worker, Duration::ZERO).await {
        log::warn!(event = "last_hold_failed", cause:% = cause; "");
    }
    log::info!(
        event = "last_hold", worker:% = worker.state().incarnation,
        took_ms = clock::millis(clock::boottime().saturating_sub(began)); ""
    );
}

async fn renew(worker: &ManagedWorker) -> Result<LeaseReply, String> {
    let wait = {
        let state = worker.state();
        let settling = state.runs.values().any(Run::is_settling);
        // Starts are held back until a worker that has not answered does so.
        let is_awaited = state.clock.is_none() || state.contact.has_failed();
        if !state.introduction.is_done() || is_awaited {
            Duration::ZERO
        } else if settling {
            SETTLING_RENEWAL_WAIT
        } else if state.is_suspected() {
            SUSPECTED_RENEWAL_WAIT
        } else if is_mixed(&state) {
            MIXED_RENEWAL_WAIT
        } else {
            RENEWAL_WAIT
        }
    };
    send_renewal(worker, wait).await
}

async fn send_renewal(worker: &ManagedWorker, wait: Duration) -> Result<LeaseReply, String> {
    let (incarnation, grant, acknowledged) = {
        let mut state = worker.state();
        let now = clock::boottime();
        let until = worker.lease_limit(&state).filter(|until| *until > now);
        let until = until.filter(|_| may_renew(&state, now));
        let reading = state.clock;
        let grant = until.and_then(|until| Some(state.grants.begin(reading?, until)));
        // Ends of another incarnation have numbers of their own.
        let acknowledged = if state.identity == Identity::Confirmed {
            state.recorded_up_to
        } else {
            0
        };
        (state.incarnation.clone(), grant, acknowledged)
    };
    let deadline = grant.map(|grant| grant.deadline_ms);
    let reply = worker
        .client
        .renew_lease(&incarnation, deadline, acknowledged, wait)
        .await;
    let mut state = worker.state();
    match (grant, &reply) {
        (Some(grant), Err(CallError::NotSent(_))) => state.grants.withdraw(grant),
        (Some(grant), _) => state.grants.settle(grant),
        (None, _) => {}
    }
    let reply = match reply {
        Ok(reply) => reply,
        Err(error) => {
            worker.record_failure(&mut state);
            confirm_departure(worker, &mut state, &error);
            return Err(error.to_string());
        }
    };
    if reply
        .started_ms
        .is_some_and(|started_ms| started_ms != incarnation.started_ms)
    {
        worker.record_other(&mut state);
        return Err(CallError::OtherLife.to_string());
    }
    let clock_went_back = state
        .clock
        .is_some_and(|clock| reply.worker_ms < clock.worker_ms);
    if reply.started_ms.is_none() && clock_went_back {
        worker.record_other(&mut state);
        return Err(CallError::OtherLife.to_string());
    }
    let reading = ClockReading {
        worker_ms: reply.worker_ms,
        at: clock::boottime(),
    };
    let known = state.clock;
    if !state.clock_check.accept(reading, known) {
        worker.record_failure(&mut state);
        worker.reject(&state, Doubt::ClockJump, &reading.worker_ms);
        return Err("its clock has jumped".to_owned());
    }
    let was_overdue = is_overdue(&state, reading.at);
    worker.confirm(&mut state);
    refute_departure(worker, &mut state);
    state.clock = Some(reading);
    if was_overdue {
        // Orders may have waited for the answer.
        worker.changed.notify_waiters();
    }
    Ok(reply)
}

/// Records that the worker has left, if it was said to and now nothing accepts calls for it any more. A
/// call without an answer proves nothing, as its runs may still hold their lease, nor does a single
/// connection that failed.
fn confirm_departure(worker: &ManagedWorker, state: &mut State, error: &CallError) {
    let is_refused = matches!(error, CallError::NotSent(_) | CallError::OtherLife);
    let is_told = state.departure.is_some() && state.status != WorkerState::Gone;
    if is_told && is_refused && state.contact.is_unreachable() {
        worker.record_gone(state);
    }
}

/// Drops the message that the worker has left once it answers long after that.
fn refute_departure(worker: &ManagedWorker, state: &mut State) {
    let now = clock::boottime();
    let refuted = |at: Duration| now.saturating_sub(at) >= DEPARTURE_TIME;
    if !state.departure.is_some_and(refuted) {
        return;
    }
    state.departure = None;
    let address = state.heartbeat.address;
    worker.reject(state, Doubt::StillAnswers, &address);
}

/// Returns whether the last call was answered, and no answer is overdue: a call waits for half a second at
/// most.
pub(super) fn is_answering(state: &State) -> bool {
    !state.contact.has_failed() && !is_overdue(state, clock::boottime())
}

/// Returns whether an answer is overdue at the boot time `now`. Only then may the worker be declared lapsed,
/// and nothing is started on it.
pub(super) fn is_overdue(state: &State, now: Duration) -> bool {
    state.silent_for(now) > LAPSE_MARGIN + RENEWAL_WAIT
}

/// Returns whether a call may renew the lease. A worker that is about to leave, or whose agent is, has to
/// answer first if the last call failed: each call without an answer may have extended the lease, and
/// would delay its lapse.
fn may_renew(state: &State, now: Duration) -> bool {
    let is_ending = state.is_leaving() || !state.agent.is_serving();
    let has_answered = !(is_ending && state.contact.has_failed());
    has_answered && state.silent_for(now) < MAX_SILENCE
}

fn is_mixed(state: &State) -> bool {
    let started = |order: &Order| {
        let run = state.runs.get(&order.task);
        run.is_some_and(|run| run.phase != Phase::Ended)
    };
    let mut has_best_effort = false;
    let mut has_target = false;
    for order in state.orders.values().filter(|order| started(order)) {
        if let OrderKind::Start {
            best_effort,
            target_ms,
            ..
        } = &order.kind
        {
            has_best_effort |= best_effort;
            has_target |= *target_ms > 0;
        }
    }
    has_best_effort && has_target
}

/// Marks a silent worker as lapsed once all of its leases have expired.
pub(super) fn check_lapse(worker: &ManagedWorker) {
    let mut state = worker.state();
    let now = clock::boottime();
    let silent_for = state.silent_for(now);
    let silent = is_overdue(&state, now);
    let lapses_at = state.grants.lapse_at();
    let lapsed = now > lapses_at + LAPSE_MARGIN;
    let in_service = matches!(state.status, WorkerState::Ready | WorkerState::Draining);
    if !(silent && lapsed && in_service) || state.unreachable {
        return;
    }
    worker.context.metrics.count(Event::LeaseLapsed);
    log::warn!(
        event = "lease_lapsed", worker:% = state.incarnation, runs = state.runs.len(),
        silent_ms = clock::millis(silent_for),
        expired_ms = clock::millis(now.saturating_sub(lapses_at)); "the worker does not answer"
    );
    state.unreachable = true;
    state.status = WorkerState::Lapsed;
    state.reported_at = None;
    drop(state);
    worker.changed.notify_waiters();
}

/// Delays the next call while listed ends are being recorded or were rejected, which the worker would
/// list again at once, and while the introduction of the worker is pending.
async fn wait_for_records(worker: &ManagedWorker) {
    let changed = worker.changed.notified();
    let is_pending = {
        let state = worker.state();
        let is_recording = state.recording_up_to > state.recorded_up_to;
        is_recording || state.rejected_end.is_some() || !state.introduction.is_done()
    };
    if is_pending {
        // Whether notified or timed out, the worker is called next.
        let _ = timeout(RECORDING_DELAY, changed).await;
    }
}

//! Executes orders.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::{EndCause, Order, OrderKind, TaskKey, WorkerIncarnation, WorkerState};
use tokio::time::{Instant, timeout};

use super::client::{CallError, Rejection, StartOrder, StartReply};
use super::grants::Grant;
use super::identity::Identity;
use super::managed::{ManagedWorker, State};
use super::run::{Phase, Run};
use super::waiting::WaitReason;
use super::zones::{self, PREDECESSOR_START_WAIT, Verdict};
use super::{ends, pacing, renewal, resend, start_block, unstarted};
use crate::clock;
use crate::metrics::Event;

/// Time within which a start has to begin. The worker rejects a later one.
const START_WINDOW: Duration = Duration::from_millis(1_500);

/// Remaining lease below which no run is started.
pub(super) const MIN_LEASE: Duration = Duration::from_secs(1);

/// Time between attempts at orders that could not be executed.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Silence of a worker after which a start that doesn't reach it is returned to the scheduler. A
/// reachable worker answers a lease renewal every half second.
const UNREACHABLE_TIMEOUT: Duration = Duration::from_millis(700);

/// Executes orders for as long as the worker is managed.
pub(super) async fn run(worker: Arc<ManagedWorker>) {
    loop {
        let changed = worker.changed.notified();
        execute_orders(&worker);
        // Whether notified or timed out, the orders are checked again.
        let _ = timeout(CHECK_PERIOD, changed).await;
    }
}

fn execute_orders(worker: &Arc<ManagedWorker>) {
    let mut state = worker.state();
    if start_block::update(worker, &mut state) {
        state.reported_at = None;
        worker.changed.notify_waiters();
    }
    let orders: Vec<Order> = state.orders.values().cloned().collect();
    let mut waiting = Vec::new();
    for order in orders {
        let (task, run) = (order.task, order.run);
        if let Err(reason) = execute(worker, &mut state, order) {
            waiting.push((task, run, reason));
        }
    }
    let overdue = state.waiting.update(waiting);
    worker
        .context
        .metrics
        .count_many(Event::OrderOverdue, overdue);
    log_overdue(&mut state);
    settle_abandoned(worker, &mut state);
    return_delayed(worker, &mut state);
    unstarted::update(&mut state);
}

/// Executes an order unless that has been done.
///
/// # Errors
///
/// Returns the reason if the order has to wait.
fn execute(worker: &Arc<ManagedWorker>, state: &mut State, order: Order) -> Result<(), WaitReason> {
    let known = state.runs.get(&order.task);
    if known.is_some_and(|run| run.number == order.run && run.phase == Phase::Ended) {
        return Ok(());
    }
    if let Some(reason) = WaitReason::of_term(&order, &state.incarnation) {
        return Err(reason);
    }
    if !state.has_listed {
        return Err(WaitReason::NoList);
    }
    match &order.kind {
        OrderKind::Start { .. } => handle_start(worker, state, order),
        OrderKind::Stop { .. } => {
            handle_stop(worker, state, &order);
            Ok(())
        }
    }
}

fn log_overdue(state: &mut State) {
    let Some((oldest, count)) = state.waiting.due_for_log() else {
        return;
    };
    log::warn!(
        event = "orders_overdue", worker:% = state.incarnation, orders = count,
        task:% = oldest.task, run = oldest.run, reason:% = oldest.reason,
        age_ms = clock::millis(oldest.age()); "not executed yet"
    );
}

/// Records the runs of orders for earlier terms as lost. A term is raised only after all of its
/// leases have lapsed, so none of these runs is active or can start.
fn settle_abandoned(worker: &Arc<ManagedWorker>, state: &mut State) {
    let mut lost = Vec::new();
    for (task, run) in state.waiting.abandoned() {
        worker.context.metrics.count(Event::OrderAbandoned);
        log::warn!(
            event = "order_abandoned", worker:% = state.incarnation, task:% = task, run = run;
            "it is for an earlier term; recording the run as lost"
        );
        state.runs.insert(task, Run::new(run, Phase::Ended));
        lost.push(ends::end_of(state, task, run, EndCause::Lost, ""));
    }
    if !lost.is_empty() {
        ends::record(worker, lost);
    }
}

/// Returns the orders that have waited too long for the withdrawn zones.
fn return_delayed(worker: &Arc<ManagedWorker>, state: &mut State) {
    for waiting in state.waiting.returnable() {
        let Some(order) = state.orders.get(&waiting.task).cloned() else {
            continue;
        };
        log::warn!(
            event = "order_returned", worker:% = state.incarnation, task:% = order.task,
            run = order.run, reason:% = waiting.reason, age_ms = clock::millis(waiting.age()); ""
        );
        refuse(worker, state, &order, EndCause::Refused);
    }
}

fn handle_start(
    worker: &Arc<ManagedWorker>,
    state: &mut State,
    order: Order,
) -> Result<(), WaitReason> {
    let known = state.runs.get(&order.task);
    if known.is_some_and(|run| run.number >= order.run) {
        return Ok(());
    }
    let predecessor_may_start = clock::boottime() < worker.created_at + PREDECESSOR_START_WAIT;
    if !state.agent.is_serving() && predecessor_may_start {
        return Err(WaitReason::AgentStops);
    }
    if state.status != WorkerState::Ready || !state.agent.is_serving() {
        refuse(worker, state, &order, EndCause::Refused);
        return Ok(());
    }
    if state.identity == Identity::Other {
        return Err(WaitReason::WorkerRestarted);
    }
    // The deadline counts from the time of the check, also if the machine is suspended in between.
    let now = clock::boottime();
    if zones::check_start(worker, state, &order, now)? == Verdict::Return {
        refuse(worker, state, &order, EndCause::Refused);
        return Ok(());
    }
    if state.contact.is_unreachable() {
        return Err(WaitReason::Unreachable);
    }
    if renewal::is_overdue(state, now) {
        return Err(WaitReason::Silent);
    }
    let (Some(until), Some(reading)) = (worker.lease_limit(state), state.clock) else {
        return Err(WaitReason::NoLease);
    };
    if until < now + MIN_LEASE {
        return Err(WaitReason::ShortLease);
    }
    if !state.has_room(&order) {
        refuse(worker, state, &order, EndCause::NoRoom);
        return Ok(());
    }
    let grant = state.grants.begin(reading, until.min(now + START_WINDOW));
    insert(state, &order, Phase::Starting);
    let worker = Arc::clone(worker);
    tokio::spawn(async move { start(&worker, order, grant).await });
    Ok(())
}

fn insert(state: &mut State, order: &Order, phase: Phase) {
    let run = Run::new(order.run, phase);
    state.runs.insert(order.task, run);
}

fn refuse(worker: &Arc<ManagedWorker>, state: &mut State, order: &Order, cause: EndCause) {
    insert(state, order, Phase::Stopping);
    ends::return_in_background(worker, order.task, order.run, cause);
}

fn handle_stop(worker: &Arc<ManagedWorker>, state: &mut State, order: &Order) {
    let known = state.runs.get_mut(&order.task);
    match known {
        Some(run) if run.number > order.run => return,
        Some(run) if run.number == order.run => match run.phase {
            Phase::Started(_) | Phase::Resending | Phase::Unconfirmed(_) => {
                run.phase = Phase::Stopping;
            }
            Phase::Starting | Phase::Stopping | Phase::Stopped(_) | Phase::Ended => return,
        },
        _ => insert(state, order, Phase::Stopping),
    }
    ends::stop_in_background(worker, order.task, order.run);
}

async fn start(worker: &Arc<ManagedWorker>, order: Order, grant: Grant) {
    let OrderKind::Start {
        payload,
        checkpoint,
        ticket,
        ..
    } = order.kind.clone()
    else {
        return;
    };
    let (task, run) = (order.task, order.run);
    let call = StartOrder {
        task,
        run,
        payload,
        checkpoint,
        ticket,
    };
    if !is_in_time(worker, grant.deadline_ms) {
        worker.state().grants.withdraw(grant);
        return_stopped(worker, task, run, EndCause::Refused);
        return;
    }
    let reply = send(worker, &order.incarnation, &call, grant).await;
    let is_started = if matches!(reply, Err(CallError::Unknown(_))) {
        resend::run(worker, &order, &call, grant).await
    } else {
        handle_reply(worker, task, run, &reply);
        matches!(reply, Ok(StartReply::Started))
    };
    if is_started {
        pacing::adjust_started(worker, &call).await;
    }
}

/// Sends a start once, and records what the answer says about the worker.
pub(super) async fn send(
    worker: &ManagedWorker,
    incarnation: &WorkerIncarnation,
    call: &StartOrder,
    grant: Grant,
) -> Result<StartReply, CallError> {
    let (task, run) = (call.task, call.run);
    let deadline_ms = grant.deadline_ms;
    let started = Instant::now();
    let silent_for = {
        let mut state = worker.state();
        state.late_starts.record(task, run, started);
        state.silent_for(clock::boottime())
    };
    let reply = worker.client.start(incarnation, call, deadline_ms).await;
    {
        let mut state = worker.state();
        let known = state.runs.get(&task).filter(|known| known.number == run);
        let is_answered = !matches!(reply, Err(CallError::Unknown(_)));
        if is_answered && known.is_some_and(|known| known.unanswered.is_none()) {
            state.late_starts.forget(task, run);
        }
        if matches!(reply, Err(CallError::NotSent(_))) {
            state.grants.withdraw(grant);
        } else {
            state.grants.settle(grant);
        }
        match reply {
            Ok(_) => worker.record_contact(&mut state, true),
            Err(CallError::NotSent(_)) => worker.record_failure(&mut state),
            Err(CallError::Unknown(_) | CallError::OtherLife) => {
                state.identity.doubt();
            }
            Err(CallError::Refused(_)) => {}
        }
    }
    let took = started.elapsed();
    worker
        .context
        .metrics
        .start_seconds
        .observe(took.as_secs_f64());
    log::info!(
        event = "start_answered", task:% = task, run = run, worker:% = incarnation,
        deadline_ms = deadline_ms, silent_ms = clock::millis(silent_for), reply:? = reply,
        took_ms = clock::millis(took); ""
    );
    reply
}

/// Returns whether the start can still begin in time by the clock that includes suspended time.
fn is_in_time(worker: &ManagedWorker, deadline_ms: u64) -> bool {
    let reading = worker.state().clock;
    reading.is_some_and(|reading| reading.deadline(clock::boottime()) < deadline_ms)
}

fn handle_reply(
    worker: &Arc<ManagedWorker>,
    task: TaskKey,
    run: u32,
    reply: &Result<StartReply, CallError>,
) {
    let metrics = &worker.context.metrics;
    match reply {
        Ok(StartReply::Started) => {
            metrics.count(Event::TaskStarted);
            ends::set_phase(worker, task, run, Phase::Started(clock::boottime()));
            worker.state().confirm_start(task, run);
        }
        Ok(StartReply::Rejected(Rejection::Old)) => {
            ends::set_phase(worker, task, run, Phase::Started(clock::boottime()));
        }
        Ok(StartReply::Rejected(rejection)) => {
            metrics.count(Event::StartRejected);
            let cause = match rejection {
                Rejection::Room => EndCause::NoRoom,
                _ => EndCause::Refused,
            };
            return_stopped(worker, task, run, cause);
        }
        Err(CallError::Refused(_)) => {
            metrics.count(Event::StartRejected);
            return_stopped(worker, task, run, EndCause::Refused);
        }
        Err(CallError::NotSent(_)) => {
            retry_later(worker, task, run);
            return;
        }
        Err(CallError::Unknown(_) | CallError::OtherLife) => {
            metrics.count(Event::OrderUnanswered);
            ends::set_phase(worker, task, run, Phase::Unconfirmed(clock::boottime()));
        }
    }
    worker.changed.notify_waiters();
}

/// Returns a run that a worker has rejected, or whose start was not sent.
fn return_stopped(worker: &Arc<ManagedWorker>, task: TaskKey, run: u32, cause: EndCause) {
    ends::set_phase(worker, task, run, Phase::Stopping);
    ends::return_in_background(worker, task, run, cause);
}

/// Leaves the start to the next check of the orders, or returns it to the scheduler if the worker
/// stays unreachable. The orders are not checked at once: a worker that refuses connections answers
/// within a fraction of a millisecond.
fn retry_later(worker: &Arc<ManagedWorker>, task: TaskKey, run: u32) {
    let is_lost = {
        let state = worker.state();
        state.contact.is_unreachable() || state.silent_for(clock::boottime()) > UNREACHABLE_TIMEOUT
    };
    if is_lost {
        return_stopped(worker, task, run, EndCause::Refused);
        return;
    }
    worker.state().forget_run(task, run);
}

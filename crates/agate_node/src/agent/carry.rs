//! Carrying out orders.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::{EndCause, Order, OrderKind, TaskKey, WorkerState};
use tokio::time::{Instant, timeout};

use super::held::{Held, Phase, Run, State};
use super::port::{CallError, Rejection, StartOrder, StartReply};
use super::{ends, pacing};
use crate::clock;
use crate::metrics::Event;

/// Time within which a start has to begin; one that a worker carries out later is rejected.
const START_WINDOW: Duration = Duration::from_millis(1_500);

/// Lease that has to be left for a start.
const LEAST_LEASE: Duration = Duration::from_secs(1);

/// How often orders that could not be carried out are looked at again.
const CHECK: Duration = Duration::from_millis(250);

/// Time after which a start that doesn't reach the worker is given back.
const GIVE_BACK: Duration = Duration::from_millis(1_200);

/// Carries out orders for as long as the worker is held.
pub(super) async fn run(held: Arc<Held>) {
    loop {
        let news = held.changed.notified();
        carry_out(&held);
        // Both ends of the wait lead to the next look.
        let _ = timeout(CHECK, news).await;
    }
}

fn carry_out(held: &Arc<Held>) {
    let mut state = held.state();
    if !state.looked {
        return;
    }
    let orders: Vec<Order> = state.orders.values().cloned().collect();
    for order in orders {
        if !state.is_current(&order) {
            continue;
        }
        match &order.kind {
            OrderKind::Start { .. } => consider_start(held, &mut state, order),
            OrderKind::Stop { .. } => consider_stop(held, &mut state, &order),
        }
    }
}

fn consider_start(held: &Arc<Held>, state: &mut State, order: Order) {
    let known = state.runs.get(&order.task);
    if known.is_some_and(|run| run.number >= order.run) {
        return;
    }
    if state.duty != WorkerState::Ready {
        refuse(held, state, &order, EndCause::Refused);
        return;
    }
    let now = clock::boottime();
    let Some(until) = held.allowed_until(state) else {
        return;
    };
    let Some(reading) = state.clock else {
        return;
    };
    if until < now + LEAST_LEASE {
        return;
    }
    let deadline_ms = reading.deadline(until.min(now + START_WINDOW));
    insert(state, &order, Phase::Starting);
    let held = Arc::clone(held);
    tokio::spawn(async move { start(&held, order, deadline_ms).await });
}

fn insert(state: &mut State, order: &Order, phase: Phase) {
    let run = Run::new(order.run, phase);
    state.runs.insert(order.task, run);
}

fn refuse(held: &Arc<Held>, state: &mut State, order: &Order, cause: EndCause) {
    insert(state, order, Phase::Ended);
    let end = ends::of(state, order.task, order.run, cause, "");
    ends::record(held, vec![end]);
}

fn consider_stop(held: &Arc<Held>, state: &mut State, order: &Order) {
    let known = state.runs.get_mut(&order.task);
    match known {
        Some(run) if run.number > order.run => return,
        Some(run) if run.number == order.run => match run.phase {
            Phase::Started(_) | Phase::Doubtful(_) => run.phase = Phase::Stopping,
            Phase::Starting | Phase::Stopping | Phase::Stopped(_) | Phase::Ended => return,
        },
        _ => insert(state, order, Phase::Stopping),
    }
    ends::stop_in_background(held, order.task, order.run);
}

async fn start(held: &Arc<Held>, order: Order, deadline_ms: u64) {
    let OrderKind::Start {
        payload,
        saved,
        ticket,
        ..
    } = order.kind
    else {
        return;
    };
    let (task, run) = (order.task, order.run);
    let call = StartOrder {
        task,
        run,
        payload,
        checkpoint: saved,
        ticket,
    };
    let began = Instant::now();
    if !confirmed_by_clocks(held, deadline_ms) {
        give_back(held, task, run, EndCause::Refused);
        return;
    }
    let reply = held.port.start(&order.life, &call, deadline_ms).await;
    if !matches!(reply, Err(CallError::NotSent(_))) {
        held.state().granted(deadline_ms);
    }
    let took = began.elapsed();
    held.context
        .metrics
        .start_seconds
        .observe(took.as_secs_f64());
    log::info!(
        event = "start_answered", task:% = task, run = run, worker:% = order.life,
        deadline_ms = deadline_ms, reply:? = reply, took_ms = clock::millis(took); ""
    );
    take_reply(held, task, run, &reply);
    if matches!(reply, Ok(StartReply::Started)) {
        pacing::adjust_started(held, &call).await;
    }
}

/// Whether the start can still begin in time, by the clock that advances while suspended.
fn confirmed_by_clocks(held: &Held, deadline_ms: u64) -> bool {
    let reading = held.state().clock;
    reading.is_some_and(|reading| reading.deadline(clock::boottime()) < deadline_ms)
}

fn take_reply(held: &Arc<Held>, task: TaskKey, run: u32, reply: &Result<StartReply, CallError>) {
    let metrics = &held.context.metrics;
    match reply {
        Ok(StartReply::Started) => {
            metrics.count(Event::TaskStarted);
            ends::set_phase(held, task, run, Phase::Started(clock::boottime()));
        }
        Ok(StartReply::Rejected(Rejection::Old)) => {
            ends::set_phase(held, task, run, Phase::Started(clock::boottime()));
        }
        Ok(StartReply::Rejected(rejection)) => {
            metrics.count(Event::StartRejected);
            let cause = match rejection {
                Rejection::Room => EndCause::NoRoom,
                _ => EndCause::Refused,
            };
            give_back(held, task, run, cause);
        }
        Err(CallError::Refused(_)) => {
            metrics.count(Event::StartRejected);
            give_back(held, task, run, EndCause::Refused);
        }
        Err(CallError::NotSent(_)) => retry_later(held, task, run),
        Err(CallError::Unknown(_) | CallError::OtherLife) => {
            metrics.count(Event::OrderUnanswered);
            ends::set_phase(held, task, run, Phase::Doubtful(clock::boottime()));
        }
    }
    held.changed.notify_waiters();
}

fn give_back(held: &Arc<Held>, task: TaskKey, run: u32, cause: EndCause) {
    let end = {
        let mut state = held.state();
        let known = state.runs.get_mut(&task);
        let Some(known) = known.filter(|r| r.number == run && r.phase != Phase::Ended) else {
            return;
        };
        known.phase = Phase::Ended;
        ends::of(&state, task, run, cause, "")
    };
    ends::record(held, vec![end]);
}

/// Leaves the start to the next look, or gives it back if the worker stays out of reach.
fn retry_later(held: &Arc<Held>, task: TaskKey, run: u32) {
    if held.state().silent_for(clock::boottime()) > GIVE_BACK {
        give_back(held, task, run, EndCause::Refused);
        return;
    }
    let mut state = held.state();
    if state
        .runs
        .get(&task)
        .is_some_and(|known| known.number == run)
    {
        state.runs.remove(&task);
    }
}

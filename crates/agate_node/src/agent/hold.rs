//! Extending a worker's lease and taking in what it lists.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::lease::ClockReading;
use agate_jobs::{EndCause, Order, OrderKind, TaskKey, WorkerState};
use tokio::time::{sleep, timeout};

use super::held::{Held, Phase, Run, State};
use super::port::{CallError, HoldReply, Listed, ListedEnd};
use super::{ends, introduce, pacing};
use crate::clock;
use crate::metrics::Event;

/// Longest wait of a call for an end; the lease is extended this often.
const WAIT: Duration = Duration::from_millis(500);

/// Longest wait while tasks that fill run beside tasks with a latency target: the pace follows
/// the half-second figures of the worker.
const MIXED_WAIT: Duration = Duration::from_millis(250);

/// Pause before the next call while ends that the worker lists are not yet on record.
const RECORDING_PAUSE: Duration = Duration::from_millis(150);

/// Pause after a call that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Lists in a row in which a run is missing before it counts as ended without a trace.
const MISSING_LISTS: u32 = 2;

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
        let began = clock::boot();
        match call(&held).await {
            Ok(reply) => {
                if failing {
                    log::info!(event = "worker_regained", worker:% = held.state().life; "");
                }
                failing = false;
                take(&held, &reply, began);
                pacing::adjust(&held, &reply).await;
            }
            Err(cause) => {
                if !failing {
                    let life = held.state().life.clone();
                    log::warn!(event = "worker_lost", worker:% = life, cause:% = cause; "");
                }
                failing = true;
                sleep(RETRY_PAUSE).await;
            }
        }
        check_lapse(&held);
        wait_for_records(&held).await;
    }
}

/// Extends the lease as far as the evidence allows, without waiting for an end.
pub(super) async fn last(held: &Held) {
    let began = clock::boot();
    if let Err(cause) = extend(held, Duration::ZERO).await {
        log::warn!(event = "last_hold_failed", cause:% = cause; "");
    }
    log::info!(
        event = "last_hold", worker:% = held.state().life,
        took_ms = clock::millis(clock::boot().saturating_sub(began)); ""
    );
}

async fn call(held: &Held) -> Result<HoldReply, String> {
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

async fn extend(held: &Held, wait: Duration) -> Result<HoldReply, String> {
    let (life, deadline, seen) = {
        let state = held.state();
        let now = clock::boot();
        let until = held.allowed_until(&state).filter(|until| *until > now);
        let answers = state.silent_for(now) < SILENCE;
        let deadline = until.filter(|_| answers);
        let deadline = deadline.and_then(|until| Some(state.clock?.deadline(until)));
        (state.life.clone(), deadline, state.seen)
    };
    let reply = held.port.hold(&life, deadline, seen, wait).await;
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
        at: clock::boot(),
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

/// Takes in a list whose call began at `began` on the boot clock.
fn take(held: &Arc<Held>, reply: &HoldReply, began: Duration) {
    let mut state = held.state();
    let first = !state.looked;
    state.answered();
    if state.evidence.is_none() {
        state.looked = false;
        return;
    }
    take_ends(held, &mut state, reply);
    for row in &reply.running {
        take_running(held, &mut state, row);
    }
    find_missing(held, &mut state, reply, began);
    introduce::take(held, &mut state, reply, began);
    drop(state);
    if first {
        held.news.notify_waiters();
    }
}

/// Records the ends of runs that were ordered, and acknowledges all others.
fn take_ends(held: &Arc<Held>, state: &mut State, reply: &HoldReply) {
    let mut found = Vec::new();
    let mut highest = state.recording;
    for end in &reply.ended {
        if end.number <= state.recording {
            continue;
        }
        highest = highest.max(end.number);
        if !state.awaits_end(end.task, end.run) {
            log::info!(
                event = "end_void", task:% = end.task, run = end.run, cause:% = end.cause,
                worker:% = state.life; "no order stands for this run"
            );
            continue;
        }
        let cause = cause_of(state, end);
        found.push(ends::of(state, end.task, end.run, cause, &end.saved));
        mark_ended(state, end.task, end.run);
    }
    if highest > state.recording {
        state.recording = highest;
        ends::record_listed(held, found, highest);
    }
}

/// Why a listed run ended; a stop of a stalled one tells of its worker.
fn cause_of(state: &State, end: &ListedEnd) -> EndCause {
    let run = state.runs.get(&end.task);
    let stalled = run.is_some_and(|run| run.number == end.run && run.stalled);
    match end.cause {
        EndCause::Stopped if stalled => EndCause::Stalled,
        cause => cause,
    }
}

fn mark_ended(state: &mut State, task: TaskKey, number: u32) {
    let run = state.runs.entry(task);
    let run = run.or_insert_with(|| Run::new(number, Phase::Ended));
    if run.number <= number {
        run.number = number;
        run.phase = Phase::Ended;
    }
}

/// Adopts a run that an order stands for, and stops any other.
fn take_running(held: &Arc<Held>, state: &mut State, row: &Listed) {
    if !state.is_ordered(row.task, row.run) {
        log::warn!(
            event = "run_unordered", task:% = row.task, run = row.run, worker:% = state.life;
            "stopping it"
        );
        ends::stop_unordered(held, row.task, row.run);
        return;
    }
    let run = state.runs.entry(row.task);
    let run = run.or_insert_with(|| Run::new(row.run, Phase::Started(clock::boot())));
    if run.number == row.run {
        run.missing = 0;
        if let Phase::Doubtful(_) = run.phase {
            run.phase = Phase::Started(clock::boot());
        }
    }
    stop_stalled(held, state, row);
}

/// Stops a run that gets no further, to go on elsewhere.
fn stop_stalled(held: &Arc<Held>, state: &mut State, row: &Listed) {
    let Some(order) = state.orders.get(&row.task) else {
        return;
    };
    let run = state.runs.get_mut(&row.task);
    let Some(run) = run.filter(|run| run.number == row.run) else {
        return;
    };
    let now = clock::boot();
    let stalled = run.progress.take(&order.kind, row, now);
    if !stalled || !matches!(run.phase, Phase::Started(_)) {
        return;
    }
    run.phase = Phase::Stopping;
    run.stalled = true;
    log::warn!(
        event = "run_stalled", task:% = row.task, run = row.run, worker:% = state.life,
        percent = row.percent, gauge = row.gauge; "stopping it, to go on elsewhere"
    );
    ends::stop_in_background(held, row.task, row.run);
}

/// Ends runs that the worker neither runs nor lists as ended although it has answered their order.
fn find_missing(held: &Arc<Held>, state: &mut State, reply: &HoldReply, began: Duration) {
    let listed = |task: &TaskKey, number: u32| {
        let (mut running, mut ended) = (reply.running.iter(), reply.ended.iter());
        running.any(|row| row.task == *task && row.run == number)
            || ended.any(|end| end.task == *task && end.run == number)
    };
    let mut gone = Vec::new();
    let mut doubtful = Vec::new();
    for (task, run) in &mut state.runs {
        let at = match run.phase {
            Phase::Started(at) | Phase::Stopped(at) | Phase::Doubtful(at) => at,
            Phase::Starting | Phase::Stopping | Phase::Ended => continue,
        };
        if at >= began || listed(task, run.number) {
            continue;
        }
        run.missing += 1;
        if run.missing < MISSING_LISTS {
            continue;
        }
        if let Phase::Doubtful(_) = run.phase {
            run.phase = Phase::Stopping;
            run.missing = 0;
            doubtful.push((*task, run.number));
        } else {
            run.phase = Phase::Ended;
            gone.push((*task, run.number));
        }
    }
    for (task, number) in doubtful {
        ends::stop_in_background(held, task, number);
    }
    for (task, number) in gone {
        let end = ends::of(state, task, number, EndCause::Untraced, "");
        ends::record(held, vec![end]);
    }
}

/// Takes note that everything on a silent worker has lapsed.
fn check_lapse(held: &Held) {
    let mut state = held.state();
    let now = clock::boot();
    let silent_for = state.silent_for(now);
    let silent = silent_for > LAPSE_MARGIN + WAIT;
    let lapsed = now > state.lapses_at + LAPSE_MARGIN;
    let open = matches!(state.duty, WorkerState::Ready | WorkerState::Draining);
    if !(silent && lapsed && open) || state.unreachable {
        return;
    }
    held.parts.metrics.count(Event::LeaseLapsed);
    log::warn!(
        event = "lease_lapsed", worker:% = state.life, runs = state.runs.len(),
        silent_ms = clock::millis(silent_for); "the worker does not answer"
    );
    state.unreachable = true;
    state.duty = WorkerState::Lapsed;
    state.reported = None;
    drop(state);
    held.news.notify_waiters();
}

/// Leaves time for the record of listed ends, which the worker would list again at once, and for what
/// has to be settled before the worker is reported.
async fn wait_for_records(held: &Held) {
    let news = held.news.notified();
    let open = {
        let state = held.state();
        state.recording > state.seen || !state.introduction.is_done()
    };
    if open {
        // Both ends of the wait lead to the next call.
        let _ = timeout(RECORDING_PAUSE, news).await;
    }
}

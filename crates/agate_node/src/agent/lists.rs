//! Taking in what a worker lists: ends, runs in progress, and runs that are missing.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::{EndCause, TaskKey};

use super::held::{Held, Phase, Run, State};
use super::port::{LeaseReply, ListedEnd, ListedRun};
use super::{ends, introduce};
use crate::clock;

/// Lists in a row in which a run is missing before it counts as ended without a trace.
const MISSING_LISTS: u32 = 2;

/// Takes in a list whose call began at `began` on the boot clock.
pub(super) fn take(held: &Arc<Held>, reply: &LeaseReply, began: Duration) {
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
        held.changed.notify_waiters();
    }
}

/// Records the ends of runs that were ordered, and acknowledges all others.
fn take_ends(held: &Arc<Held>, state: &mut State, reply: &LeaseReply) {
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
        found.push(ends::of(state, end.task, end.run, cause, &end.checkpoint));
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
fn take_running(held: &Arc<Held>, state: &mut State, row: &ListedRun) {
    if !state.is_ordered(row.task, row.run) {
        log::warn!(
            event = "run_unordered", task:% = row.task, run = row.run, worker:% = state.life;
            "stopping it"
        );
        ends::stop_unordered(held, row.task, row.run);
        return;
    }
    let run = state.runs.entry(row.task);
    let run = run.or_insert_with(|| Run::new(row.run, Phase::Started(clock::boottime())));
    if run.number == row.run {
        run.missing = 0;
        if let Phase::Doubtful(_) = run.phase {
            run.phase = Phase::Started(clock::boottime());
        }
    }
    stop_stalled(held, state, row);
}

/// Stops a run that gets no further, to go on elsewhere.
fn stop_stalled(held: &Arc<Held>, state: &mut State, row: &ListedRun) {
    let Some(order) = state.orders.get(&row.task) else {
        return;
    };
    let run = state.runs.get_mut(&row.task);
    let Some(run) = run.filter(|run| run.number == row.run) else {
        return;
    };
    let now = clock::boottime();
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
fn find_missing(held: &Arc<Held>, state: &mut State, reply: &LeaseReply, began: Duration) {
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

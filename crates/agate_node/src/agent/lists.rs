//! Processes the lists of a worker: runs that have ended, are in progress or are missing.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::{EndCause, TaskKey};

use super::client::{LeaseReply, ListedEnd, ListedRun};
use super::doubts::Doubt;
use super::managed::{ManagedWorker, State};
use super::run::{Phase, Run};
use super::{checkpoints, ends, introduction, resend};
use crate::clock;

/// Maximum number of ends between two lists.
const MAX_NEW_ENDS: u64 = 10_000;

/// Consecutive lists that lack a started run before it counts as lost without a trace.
const MISSING_LISTS: u32 = 2;

/// The same for a run whose start got no answer. One list is enough: the run is then stopped, which
/// prevents a later start, and once the stop is answered, a list that lacks the run is final.
const MISSING_UNANSWERED_LISTS: u32 = 1;

/// Processes a list that was requested at the boot time `began`.
pub(super) fn apply(worker: &Arc<ManagedWorker>, reply: &LeaseReply, began: Duration) {
    let mut state = worker.state();
    let first = !state.has_listed;
    state.record_answer();
    state.resends.record_list(began);
    if state.synced_at.is_none() {
        state.has_listed = false;
        return;
    }
    record_ends(worker, &mut state, reply);
    for row in &reply.running {
        check_running(worker, &mut state, row);
    }
    end_missing(worker, &mut state, reply, began);
    introduction::update(worker, &mut state, reply, began);
    drop(state);
    worker.listed.notify_waiters();
    if first {
        worker.changed.notify_waiters();
    }
}

/// Records the ends of ordered runs, and acknowledges all others.
fn record_ends(worker: &Arc<ManagedWorker>, state: &mut State, reply: &LeaseReply) {
    let mut found = Vec::new();
    let mut up_to = state.recording_up_to;
    let limit = max_end_number(state, reply);
    state.rejected_end = None;
    for end in &reply.ended {
        if end.number <= state.recording_up_to {
            continue;
        }
        if end.number > limit {
            state.rejected_end = Some(end.number);
            worker.reject(state, Doubt::EndNumbers, &end.number);
            continue;
        }
        up_to = up_to.max(end.number);
        if !state.awaits_end(end.task, end.run) {
            log::info!(
                event = "end_void", task:% = end.task, run = end.run, cause:% = end.cause,
                worker:% = state.incarnation; "no order exists for this run"
            );
            continue;
        }
        let cause = cause_of(state, end);
        let run = (end.task, end.run);
        let checkpoint = checkpoints::of_end(worker, state, run, &end.checkpoint);
        found.push(ends::end_of(state, end.task, end.run, cause, checkpoint));
        mark_ended(worker, state, end.task, end.run);
    }
    if up_to > state.recording_up_to {
        state.recording_up_to = up_to;
        ends::record_listed(worker, found, up_to);
    }
}

/// Returns the highest number that the next ends may have. Acknowledging a higher one would make the
/// worker forget ends that it has not listed yet. In its first list to an agent, a worker has listed less
/// than one end a millisecond.
fn max_end_number(state: &State, reply: &LeaseReply) -> u64 {
    if state.recording_up_to == 0 {
        return reply.worker_ms.saturating_add(MAX_NEW_ENDS);
    }
    state.recording_up_to.saturating_add(MAX_NEW_ENDS)
}

/// Returns why a listed run ended. The stop of a stalled run is attributed to the stall.
fn cause_of(state: &State, end: &ListedEnd) -> EndCause {
    let run = state.runs.get(&end.task);
    let stalled = run.is_some_and(|run| run.number == end.run && run.stalled);
    match end.cause {
        EndCause::Stopped if stalled => EndCause::Stalled,
        cause => cause,
    }
}

fn mark_ended(worker: &ManagedWorker, state: &mut State, task: TaskKey, number: u32) {
    let run = state.runs.entry(task);
    let run = run.or_insert_with(|| Run::new(number, Phase::Ended));
    if run.number <= number {
        run.number = number;
        run.phase = Phase::Ended;
        resend::record_settled(worker, task, run);
    }
}

/// Adopts a run that is ordered, and stops any other.
fn check_running(worker: &Arc<ManagedWorker>, state: &mut State, row: &ListedRun) {
    if !state.is_ordered(row.task, row.run) {
        log::warn!(
            event = "run_unordered", task:% = row.task, run = row.run, worker:% = state.incarnation;
            "stopping it"
        );
        ends::stop_unordered(worker, row.task, row.run);
        return;
    }
    let run = state.runs.entry(row.task);
    let run = run.or_insert_with(|| Run::new(row.run, Phase::Started(clock::boottime())));
    if run.number == row.run {
        checkpoints::keep(worker, row.task, run, &row.checkpoint);
        run.missing_lists = 0;
    }
    resend::confirm_listed(worker, state, row.task, row.run);
    state.confirm_start(row.task, row.run);
    stop_stalled(worker, state, row);
}

/// Stops a run that makes no progress, so that it continues elsewhere.
fn stop_stalled(worker: &Arc<ManagedWorker>, state: &mut State, row: &ListedRun) {
    let Some(order) = state.orders.get(&row.task) else {
        return;
    };
    let run = state.runs.get_mut(&row.task);
    let Some(run) = run.filter(|run| run.number == row.run) else {
        return;
    };
    let now = clock::boottime();
    let stalled = run.progress.update(&order.kind, row, now);
    if !stalled || !matches!(run.phase, Phase::Started(_)) {
        return;
    }
    run.phase = Phase::Stopping;
    run.stalled = true;
    log::warn!(
        event = "run_stalled", task:% = row.task, run = row.run, worker:% = state.incarnation,
        percent = row.percent, gauge = row.gauge; "stopping it so that it continues elsewhere"
    );
    ends::stop_in_background(worker, row.task, row.run);
}

/// Ends runs that the worker lists neither as running nor as ended although it has answered their
/// order. An incomplete list proves nothing: the end of a run may be further back.
fn end_missing(
    worker: &Arc<ManagedWorker>,
    state: &mut State,
    reply: &LeaseReply,
    began: Duration,
) {
    if reply.more_ended {
        return;
    }
    let listed = |task: &TaskKey, number: u32| {
        let (mut running, mut ended) = (reply.running.iter(), reply.ended.iter());
        running.any(|row| row.task == *task && row.run == number)
            || ended.any(|end| end.task == *task && end.run == number)
    };
    let mut lost = Vec::new();
    let mut unconfirmed = Vec::new();
    for (task, run) in &mut state.runs {
        let at = match run.phase {
            Phase::Started(at) | Phase::Stopped(at) | Phase::Unconfirmed(at) => at,
            Phase::Starting | Phase::Resending | Phase::Stopping | Phase::Ended => continue,
        };
        if at >= began || listed(task, run.number) {
            continue;
        }
        run.missing_lists += 1;
        let limit = if run.unanswered.is_some() {
            MISSING_UNANSWERED_LISTS
        } else {
            MISSING_LISTS
        };
        if run.missing_lists < limit {
            continue;
        }
        if let Phase::Unconfirmed(_) = run.phase {
            run.phase = Phase::Stopping;
            run.missing_lists = 0;
            unconfirmed.push((*task, run.number));
        } else {
            run.phase = Phase::Ended;
            resend::record_settled(worker, *task, run);
            lost.push((*task, run.number));
        }
    }
    for (task, number) in unconfirmed {
        ends::stop_in_background(worker, task, number);
    }
    for (task, number) in lost {
        let end = ends::end_of(state, task, number, EndCause::Untraced, "");
        ends::record(worker, vec![end]);
    }
}

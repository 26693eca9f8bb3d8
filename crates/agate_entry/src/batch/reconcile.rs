//! Comparison of what a worker holds with what the log says.

use agate_core::{Incarnation, RunId};
use agate_place::{UrgentReading, ViewState, WorkerSpec};
use agate_state::{JobPhase, State};
use agate_wire::message::{Heartbeat, MemberInfo, RunAction, RunStatus, StopMode};

use super::dispatch::Order;
use super::events::{adopt_all, strength};
use super::home::Homes;
use crate::entry::Entry;

/// Takes in a worker that announced itself.
pub(crate) fn joined(entry: &Entry, member: &MemberInfo) {
    let now = entry.clock.now();
    let spec = WorkerSpec {
        id: member.incarnation,
        capacity: member.capacity.resources,
    };
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            inner.scheduler.join(now, spec);
            adopt_all(entry, state, inner, member.incarnation);
        });
    });
}

/// Takes in the heartbeat of a worker: readings go to the scheduler, and an order that was lost is
/// repeated.
pub(crate) fn reconcile(entry: &Entry, beat: &Heartbeat) {
    take_readings(entry, beat);
    let homes = Homes::of(entry);
    let holder = beat.incarnation;
    entry.folded.with(|state| {
        for run in state.runs_held_by(holder) {
            if homes.is_mine(run.task.job) {
                let held = beat.runs.iter().find(|status| status.run == run);
                repeat(entry, state, holder, run, held);
            }
        }
    });
}

fn repeat(entry: &Entry, state: &State, holder: Incarnation, run: RunId, held: Option<&RunStatus>) {
    let Some(kind) = wanted_stop(entry, state, run) else {
        if held.is_none() {
            entry.batch.order(Order::Start(run));
        }
        return;
    };
    let step = held.and_then(|status| status.step);
    let stronger = step.is_none_or(|step| strength(step) < strength(kind));
    if stronger {
        entry.batch.order(Order::Stop {
            run,
            incarnation: holder,
            kind,
        });
    }
}

/// What the folded state asks for against a bound run.
pub(super) fn wanted_stop(entry: &Entry, state: &State, run: RunId) -> Option<RunAction> {
    let job = state.job(run.task.job)?;
    match job.phase {
        JobPhase::Cancelling => return Some(RunAction::Cancel),
        JobPhase::Withdrawn => {}
        JobPhase::Open | JobPhase::Cancelled | JobPhase::Finished | JobPhase::Failed => {
            return None;
        }
    }
    let submitted = job.submitted?;
    let withdrawal = entry.config.withdrawn(&submitted.class, &submitted.tags)?;
    match withdrawal.mode {
        StopMode::Finish => None,
        StopMode::Checkpoint => Some(RunAction::Evict),
        StopMode::Stop => Some(RunAction::Stop),
    }
}

fn take_readings(entry: &Entry, beat: &Heartbeat) {
    let now = entry.clock.now();
    let worker = beat.incarnation;
    entry.batch.with(|inner| {
        let scheduler = &mut inner.scheduler;
        if beat.leaving {
            scheduler.mark_leaving(worker);
        }
        scheduler.report_held(worker, beat.load.held);
        for sample in &beat.usage {
            scheduler.observe_usage(sample.run.task, sample.used);
        }
        for sample in &beat.urgent {
            let reading = UrgentReading {
                worker,
                class: sample.class.clone(),
                age: std::time::Duration::from_millis(sample.age_ms),
                slowdown_percent: sample.slowdown_percent,
                load_percent: sample.load_percent,
            };
            scheduler.observe_urgent(now, &reading);
        }
    });
}

/// Removes a worker that is gone from the scheduler.
pub(crate) fn left(entry: &Entry, worker: Incarnation) {
    let now = entry.clock.now();
    entry
        .batch
        .with(|inner| inner.scheduler.remove(now, worker));
}

/// Tells the scheduler whether every worker is thought to be known.
pub(super) fn set_view(entry: &Entry) {
    let now = entry.clock.now();
    let fill = entry.members.with(|view| view.fill_state(now));
    let view = match fill {
        agate_members::FillState::Filling => ViewState::Incomplete,
        agate_members::FillState::Full => ViewState::Complete,
    };
    entry
        .batch
        .quietly(|inner| inner.scheduler.set_view(now, view));
}

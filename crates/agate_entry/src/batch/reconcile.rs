//! Reconciliation of a worker's runs with the log.

use agate_core::{Incarnation, RunId};
use agate_place::{UrgentReading, ViewState, WorkerSpec};
use agate_state::{JobPhase, State};
use agate_wire::message::{Heartbeat, MemberInfo, RunAction, RunStatus, StopMode};

use super::dispatch::Order;
use super::events::{adopt_all, severity};
use super::ownership::Ownership;
use crate::entry::Entry;

/// Adds a worker that has announced itself.
pub(crate) fn add_worker(entry: &Entry, member: &MemberInfo) {
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

/// Processes a worker's heartbeat: passes its samples to the scheduler and repeats lost orders.
pub(crate) fn reconcile(entry: &Entry, heartbeat: &Heartbeat) {
    record_samples(entry, heartbeat);
    let ownership = Ownership::of(entry);
    let holder = heartbeat.incarnation;
    entry.folded.with(|state| {
        for run in state.runs_held_by(holder) {
            if ownership.owns_job(run.task.job) {
                let reported = heartbeat.runs.iter().find(|status| status.run == run);
                repeat_order(entry, state, holder, run, reported);
            }
        }
    });
}

fn repeat_order(
    entry: &Entry,
    state: &State,
    holder: Incarnation,
    run: RunId,
    reported: Option<&RunStatus>,
) {
    let Some(kind) = required_stop(entry, state, run) else {
        if reported.is_none() {
            entry.batch.enqueue_order(Order::Start(run));
        }
        return;
    };
    let step = reported.and_then(|status| status.step);
    let stronger = step.is_none_or(|step| severity(step) < severity(kind));
    if stronger {
        entry.batch.enqueue_order(Order::Stop {
            run,
            incarnation: holder,
            kind,
        });
    }
}

/// Returns the action that the folded state requires against a bound run.
pub(super) fn required_stop(entry: &Entry, state: &State, run: RunId) -> Option<RunAction> {
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

fn record_samples(entry: &Entry, heartbeat: &Heartbeat) {
    let now = entry.clock.now();
    let worker = heartbeat.incarnation;
    entry.batch.with(|inner| {
        let scheduler = &mut inner.scheduler;
        if heartbeat.leaving {
            scheduler.mark_leaving(worker);
            let listed = inner.leaving.entry(worker).or_default();
            listed.extend(heartbeat.runs.iter().map(|status| status.run));
        }
        scheduler.report_held(worker, heartbeat.load.held);
        for sample in &heartbeat.usage {
            scheduler.observe_usage(sample.run.task, sample.used);
        }
        for sample in &heartbeat.urgent {
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

/// Removes a worker from the scheduler.
pub(crate) fn remove_worker(entry: &Entry, worker: Incarnation) {
    let now = entry.clock.now();
    entry
        .batch
        .with(|inner| inner.scheduler.remove(now, worker));
}

/// Updates the scheduler on whether the view of workers is complete.
pub(super) fn set_view(entry: &Entry) {
    let now = entry.clock.now();
    let fill_state = entry.members.with(|view| view.fill_state(now));
    let view = match fill_state {
        agate_members::FillState::Filling => ViewState::Incomplete,
        agate_members::FillState::Full => ViewState::Complete,
    };
    entry
        .batch
        .without_wake(|inner| inner.scheduler.set_view(now, view));
}

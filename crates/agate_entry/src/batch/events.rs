//! Applies folded records to the scheduler and to runs.

use std::collections::HashMap;

use agate_core::{Incarnation, Position, Resources, RunId, TaskId};
use agate_place::{AdoptedRun, Disposition, Policy, RunOutcome, Selector as SchedulerSelector};
use agate_records::{Body, DecodedBatch, RunEnd, RunEnded};
use agate_state::{Effect, Event, RecordEffect, State, TaskEnd};
use agate_wire::message::{RunAction, Selector};

use super::dispatch::Order;
use super::lease;
use super::ownership::{self, Ownership};
use super::reconcile::required_stop;
use super::shared::Inner;
use crate::entry::Entry;

/// Initializes the scheduler from a state rebuilt from the log.
pub(crate) fn rebuild(entry: &Entry) {
    let now = entry.clock.now();
    let policy = Policy::from(&*entry.preset());
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            inner.scheduler.configure(now, policy);
            let bound = lease::initial_bound(entry, state);
            inner.leases.get_or_insert(bound);
            for withdrawal in &state.config().withdrawals {
                inner
                    .scheduler
                    .withdraw(&scheduler_selector(&withdrawal.selector));
            }
            let holders: Vec<Incarnation> = state.holders().collect();
            for holder in holders {
                adopt_all(entry, state, inner, holder);
            }
        });
    });
    ownership::queue_all(entry, &Ownership::of(entry));
}

/// Handles the effects of a folded batch.
pub(crate) fn on_folded(entry: &Entry, batch: &DecodedBatch, effects: &[RecordEffect]) {
    let ends = ends_of(batch);
    let ownership = Ownership::of(entry);
    for placed in effects {
        let Effect::Applied(events) = &placed.effect else {
            continue;
        };
        let end = ends.get(&placed.position).copied();
        for event in events {
            log::debug!(event = "folded", place:% = placed.position, change = <&str>::from(event); "");
            apply(entry, &ownership, event, end);
        }
    }
}

fn ends_of(batch: &DecodedBatch) -> HashMap<Position, &RunEnded> {
    let ends = batch
        .records
        .iter()
        .filter_map(|placed| match &placed.record.body {
            Body::RunEnded(ended) => Some((placed.position, ended)),
            _ => None,
        });
    ends.collect()
}

fn apply(entry: &Entry, ownership: &Ownership, event: &Event, end: Option<&RunEnded>) {
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            let mut handler = EventHandler {
                entry,
                ownership,
                state,
                inner,
            };
            handler.apply(event, end);
        });
    });
}

struct EventHandler<'a> {
    entry: &'a Entry,
    ownership: &'a Ownership,
    state: &'a State,
    inner: &'a mut Inner,
}

impl EventHandler<'_> {
    fn apply(&mut self, event: &Event, end: Option<&RunEnded>) {
        match event {
            Event::PresetPublished { .. } | Event::TaskRunnable { .. } => {}
            Event::JobEnded { job } => {
                self.inner.queued.remove(job);
                self.inner.scheduler.cancel(*job);
            }
            Event::PresetSwitched { .. } => self.configure(),
            Event::Withdrawn { selector, .. } => {
                self.inner.scheduler.withdraw(&scheduler_selector(selector));
                self.stop_withdrawn();
            }
            Event::Resumed { selector } => {
                self.inner.scheduler.resume(&scheduler_selector(selector));
            }
            Event::JobOpened { job, .. } => {
                if self.ownership.owns_job(*job) {
                    ownership::queue(self.entry, self.state, self.inner, *job);
                }
            }
            Event::JobCancelled { job } => {
                self.inner.queued.remove(job);
                self.inner.scheduler.cancel(*job);
                for bound in self.state.bound_runs(*job) {
                    self.stop(bound.run, bound.incarnation);
                }
            }
            Event::RunBound {
                run,
                incarnation,
                demand,
            } => self.handle_run_bound(*run, *incarnation, *demand),
            Event::RunEnded { run, .. } => {
                if let Some(end) = end {
                    self.handle_run_ended(run.task, end);
                }
            }
            Event::TaskEnded { task, end } => self.handle_task_ended(*task, *end),
            Event::MemberLost { incarnation } => self.handle_member_lost(*incarnation),
        }
    }

    fn configure(&mut self) {
        let now = self.entry.clock.now();
        let config = self.state.config();
        if let Some(in_force) = &config.preset {
            let policy = Policy::from(&in_force.preset);
            self.inner.scheduler.configure(now, policy);
            if let Some(leases) = &mut self.inner.leases {
                leases.set_current(lease::length(self.state), now);
            }
        }
    }

    /// Adopts a binding that took effect. A binding by another entry replaces the local placement.
    fn handle_run_bound(&mut self, run: RunId, incarnation: Incarnation, demand: Resources) {
        let now = self.entry.clock.now();
        let placed = self.inner.scheduler.worker_of(run.task);
        if placed.is_some_and(|worker| worker != incarnation) {
            self.inner.scheduler.refused(now, run.task, None);
        }
        adopt(self.entry, self.state, self.inner, run, incarnation, demand);
        if self.ownership.owns_job(run.task.job) {
            self.entry.batch.enqueue_order(Order::Start(run));
        }
    }

    fn handle_run_ended(&mut self, task: TaskId, record: &RunEnded) {
        let now = self.entry.clock.now();
        let Some(end) = run_outcome(&record.end) else {
            return;
        };
        let ended = self.inner.scheduler.ended(now, task, end, record.peak);
        if ended == Disposition::Unknown {
            ownership::requeue(self.entry, self.state, self.inner, task.job);
        }
    }

    /// Requeues the job when the fold has ended a task that the scheduler might still retry.
    fn handle_task_ended(&mut self, task: TaskId, end: TaskEnd) {
        match end {
            TaskEnd::Finished => {}
            TaskEnd::Failed | TaskEnd::Impossible | TaskEnd::Cancelled => {
                ownership::requeue(self.entry, self.state, self.inner, task.job);
            }
        }
    }

    fn handle_member_lost(&mut self, incarnation: Incarnation) {
        let now = self.entry.clock.now();
        log::warn!(event = "member_lost", incarnation:%; "");
        self.entry.members.mark_lost(incarnation);
        self.inner.scheduler.remove(now, incarnation);
    }

    fn stop_withdrawn(&mut self) {
        let holders: Vec<Incarnation> = self.state.holders().collect();
        for holder in holders {
            for run in self.state.runs_held_by(holder) {
                self.stop(run, holder);
            }
        }
    }

    /// Orders the action that the folded state requires against a bound run.
    fn stop(&mut self, run: RunId, incarnation: Incarnation) {
        if !self.ownership.owns_job(run.task.job) {
            return;
        }
        if let Some(kind) = required_stop(self.entry, self.state, run) {
            self.entry.batch.enqueue_order(Order::Stop {
                run,
                incarnation,
                kind,
            });
        }
    }
}

/// Adopts every run that the folded state binds to a worker.
pub(super) fn adopt_all(entry: &Entry, state: &State, inner: &mut Inner, worker: Incarnation) {
    for run in state.runs_held_by(worker) {
        let binding = state.task(run.task).and_then(|task| task.binding);
        if let Some(binding) = binding {
            adopt(entry, state, inner, run, worker, binding.demand);
        }
    }
}

fn adopt(
    entry: &Entry,
    state: &State,
    inner: &mut Inner,
    run: RunId,
    worker: Incarnation,
    demand: Resources,
) {
    let Some(submitted) = state.submission(run.task.job) else {
        return;
    };
    let adopted = AdoptedRun {
        task: run.task,
        worker,
        demand,
        declared: submitted.declared,
        team: submitted.team.clone(),
        class: submitted.class.clone(),
    };
    inner.scheduler.adopt(entry.clock.now(), &adopted);
}

fn scheduler_selector(selector: &Selector) -> SchedulerSelector {
    match selector {
        Selector::Class(class) => SchedulerSelector::Class(class.clone()),
        Selector::Tag(tag) => SchedulerSelector::Tag(tag.clone()),
    }
}

/// Maps the end of a run for the scheduler. Returns `None` for a verdict on a task that was not
/// bound.
const fn run_outcome(end: &RunEnd) -> Option<RunOutcome> {
    match end {
        RunEnd::Finished => Some(RunOutcome::Finished),
        RunEnd::Failed {
            exhausted: true, ..
        } => Some(RunOutcome::Exhausted),
        RunEnd::Failed {
            exhausted: false, ..
        } => Some(RunOutcome::Failed),
        RunEnd::Evicted { .. } => Some(RunOutcome::Evicted),
        RunEnd::Stopped => Some(RunOutcome::Stopped),
        RunEnd::NotStarted { .. } => Some(RunOutcome::NotStarted),
        RunEnd::Lost => Some(RunOutcome::Lost),
        RunEnd::Impossible { .. } => None,
    }
}

/// Returns the severity of an action; a more severe action replaces a weaker one.
pub(super) const fn severity(kind: RunAction) -> u8 {
    match kind {
        RunAction::Release => 0,
        RunAction::Throttle => 1,
        RunAction::Evict => 2,
        RunAction::Stop => 3,
        RunAction::Cancel => 4,
    }
}

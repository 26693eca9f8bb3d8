//! What folded records mean for the scheduler and for runs.

use std::collections::HashMap;

use agate_core::{Incarnation, Position, Resources, RunId, TaskId};
use agate_place::{AdoptedRun, Disposition, Policy, RunOutcome, Selector as Picked};
use agate_records::{Body, DecodedBatch, RunEnd, RunEnded};
use agate_state::{Effect, Event, RecordEffect, State, TaskEnd};
use agate_wire::message::{RunAction, Selector};

use super::dispatch::Order;
use super::home::{self, Homes};
use super::lease;
use super::reconcile::wanted_stop;
use super::table::Inner;
use crate::entry::Entry;

/// Takes over a state that was rebuilt from the log.
pub(crate) fn rebuild(entry: &Entry) {
    let now = entry.clock.now();
    let policy = Policy::from(&*entry.preset());
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            inner.scheduler.configure(now, policy);
            let bound = lease::bound(entry, state);
            inner.leases.get_or_insert(bound);
            for withdrawal in &state.config().withdrawals {
                inner.scheduler.withdraw(&picked(&withdrawal.selector));
            }
            let holders: Vec<Incarnation> = state.holders().collect();
            for holder in holders {
                adopt_all(entry, state, inner, holder);
            }
        });
    });
    home::queue_all(entry, &Homes::of(entry));
}

/// Acts on what a batch did.
pub(crate) fn on_folded(entry: &Entry, batch: &DecodedBatch, effects: &[RecordEffect]) {
    let ends = ends_of(batch);
    let homes = Homes::of(entry);
    for placed in effects {
        let Effect::Applied(events) = &placed.effect else {
            continue;
        };
        let end = ends.get(&placed.position).copied();
        for event in events {
            log::debug!(event = "folded", place:% = placed.position, change = <&str>::from(event); "");
            apply(entry, &homes, event, end);
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

fn apply(entry: &Entry, homes: &Homes, event: &Event, end: Option<&RunEnded>) {
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            let mut change = Change {
                entry,
                homes,
                state,
                inner,
            };
            change.apply(event, end);
        });
    });
}

struct Change<'a> {
    entry: &'a Entry,
    homes: &'a Homes,
    state: &'a State,
    inner: &'a mut Inner,
}

impl Change<'_> {
    fn apply(&mut self, event: &Event, end: Option<&RunEnded>) {
        match event {
            Event::PresetPublished { .. } | Event::TaskRunnable { .. } => {}
            Event::JobEnded { job } => {
                self.inner.queued.remove(job);
                self.inner.scheduler.cancel(*job);
            }
            Event::PresetSwitched { .. } => self.configure(),
            Event::Withdrawn { selector, .. } => {
                self.inner.scheduler.withdraw(&picked(selector));
                self.stop_withdrawn();
            }
            Event::Resumed { selector } => self.inner.scheduler.resume(&picked(selector)),
            Event::JobOpened { job, .. } => {
                if self.homes.is_mine(*job) {
                    home::queue(self.entry, self.state, self.inner, *job);
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
            } => self.bound(*run, *incarnation, *demand),
            Event::RunEnded { run, .. } => {
                if let Some(end) = end {
                    self.ended(run.task, end);
                }
            }
            Event::TaskEnded { task, end } => self.task_ended(*task, *end),
            Event::MemberLost { incarnation } => self.lost(*incarnation),
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

    /// Takes in a binding that counts. One by another entry replaces what was placed here.
    fn bound(&mut self, run: RunId, incarnation: Incarnation, demand: Resources) {
        let now = self.entry.clock.now();
        let placed = self.inner.scheduler.worker_of(run.task);
        if placed.is_some_and(|worker| worker != incarnation) {
            self.inner.scheduler.refused(now, run.task, None);
        }
        adopt(self.entry, self.state, self.inner, run, incarnation, demand);
        if self.homes.is_mine(run.task.job) {
            self.entry.batch.order(Order::Start(run));
        }
    }

    fn ended(&mut self, task: TaskId, record: &RunEnded) {
        let now = self.entry.clock.now();
        let Some(end) = scheduler_end(&record.end) else {
            return;
        };
        let ended = self.inner.scheduler.ended(now, task, end, record.peak);
        if ended == Disposition::Unknown {
            home::requeue(self.entry, self.state, self.inner, task.job);
        }
    }

    /// Drops a task that the fold has ended although the scheduler may try it again.
    fn task_ended(&mut self, task: TaskId, end: TaskEnd) {
        match end {
            TaskEnd::Finished => {}
            TaskEnd::Failed | TaskEnd::Impossible | TaskEnd::Cancelled => {
                home::requeue(self.entry, self.state, self.inner, task.job);
            }
        }
    }

    fn lost(&mut self, incarnation: Incarnation) {
        let now = self.entry.clock.now();
        log::warn!(event = "member_lost", incarnation:%; "");
        self.entry.members.lost(incarnation);
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

    /// Orders what the folded state asks for against a bound run.
    fn stop(&mut self, run: RunId, incarnation: Incarnation) {
        if !self.homes.is_mine(run.task.job) {
            return;
        }
        if let Some(kind) = wanted_stop(self.entry, self.state, run) {
            self.entry.batch.order(Order::Stop {
                run,
                incarnation,
                kind,
            });
        }
    }
}

/// Takes in every run that the folded state binds to a worker.
pub(super) fn adopt_all(entry: &Entry, state: &State, inner: &mut Inner, worker: Incarnation) {
    for run in state.runs_held_by(worker) {
        let hold = state.task(run.task).and_then(|task| task.binding);
        if let Some(hold) = hold {
            adopt(entry, state, inner, run, worker, hold.demand);
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

fn picked(selector: &Selector) -> Picked {
    match selector {
        Selector::Class(class) => Picked::Class(class.clone()),
        Selector::Tag(tag) => Picked::Tag(tag.clone()),
    }
}

/// How the scheduler sees the end of a run; `None` for a verdict on a task that was not bound.
const fn scheduler_end(end: &RunEnd) -> Option<RunOutcome> {
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

/// How urgent a stop is, for a stop that replaces a weaker one.
pub(super) const fn strength(kind: RunAction) -> u8 {
    match kind {
        RunAction::Release => 0,
        RunAction::Throttle => 1,
        RunAction::Evict => 2,
        RunAction::Stop => 3,
        RunAction::Cancel => 4,
    }
}

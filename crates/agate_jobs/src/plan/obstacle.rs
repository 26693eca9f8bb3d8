//! Reasons for which a task may not be started on a worker.

use std::fmt;

use agate_core::Moment;
use strum::{Display, EnumCount, IntoEnumIterator};

use crate::plan::choose::{Candidate, Tolerance};
use crate::plan::worker::Worker;

/// The first reason for which a task may not be started on a worker of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, strum::EnumIter, EnumCount)]
#[strum(serialize_all = "snake_case")]
pub enum Obstacle {
    /// The worker is silent, suspected or about to leave, or its agent stops.
    OutOfService,
    /// The worker's agent reports that it can't start anything for now.
    StartsBlocked,
    /// The log doesn't take the orders of the worker.
    OrdersHeld,
    /// Nothing has been read of the worker's agent since the main stream could be read again.
    Unheard,
    /// The operator has withdrawn the worker's zone.
    ZoneWithdrawn,
    /// The worker takes nothing for a while after failures, stalls or rejected starts.
    Closed,
    /// A task that may have crashed a worker has not survived its start there yet.
    CrashProbe,
    /// The worker is on probation, and its probes have not proven it yet.
    Probation,
    /// The worker lacks the label that the step asks for.
    Label,
    /// As many tasks of the step run there as may run on one worker.
    WorkerLimit,
    /// The room that is left is reserved for long-running tasks.
    Reserved,
    /// The worker has too little room.
    NoRoom,
    /// Other tasks use the processors that a best-effort task asks for. There is room for it otherwise.
    Busy,
    /// A best-effort task would be too slow there, and most of the service is in use.
    TooSlow,
    /// The task may have crashed a worker, and others run here or have just been started.
    Shared,
    /// The worker would take a member of a gang, but there is no worker for another one.
    TooFewWorkers,
}

/// Number of workers by obstacle.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Obstacles([usize; Obstacle::COUNT]);

impl Obstacles {
    /// Returns the number of workers with an obstacle.
    pub const fn count(&self, obstacle: Obstacle) -> usize {
        self.0[obstacle as usize]
    }

    pub(super) const fn add(&mut self, obstacle: Obstacle) {
        self.0[obstacle as usize] += 1;
    }
}

impl fmt::Display for Obstacles {
    /// Writes the obstacles that any worker has, such as `no_room:3,probation:1`.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let present = Obstacle::iter().filter(|obstacle| self.count(*obstacle) > 0);
        for (at, obstacle) in present.enumerate() {
            let separator = if at > 0 { "," } else { "" };
            write!(f, "{separator}{obstacle}:{}", self.count(obstacle))?;
        }
        Ok(())
    }
}

/// Returns why a task may not be started on a worker of its service, as far as its speed doesn't matter.
#[inline]
pub(super) fn obstacle(worker: &Worker, task: Candidate<'_>, now: Moment) -> Option<Obstacle> {
    restriction(worker, task, now).or_else(|| match worker.shortage(task.step, task.yields) {
        Some(Obstacle::Busy) if task.tolerance >= Tolerance::Busy => None,
        shortage => shortage,
    })
}

/// Returns why a task may not run on a worker of its service, regardless of the room left.
#[inline]
pub(super) fn restriction(worker: &Worker, task: Candidate<'_>, now: Moment) -> Option<Obstacle> {
    let step = task.step;
    if !worker.is_in_service() {
        Some(Obstacle::OutOfService)
    } else if worker.report.start_block.is_some() {
        Some(Obstacle::StartsBlocked)
    } else if worker.orders_held {
        Some(Obstacle::OrdersHeld)
    } else if worker.is_unheard() {
        Some(Obstacle::Unheard)
    } else if worker.withdrawn {
        Some(Obstacle::ZoneWithdrawn)
    } else if is_closed(worker, task, now) {
        Some(Obstacle::Closed)
    } else if worker.is_probing(now) && !task.beside_probes {
        Some(Obstacle::CrashProbe)
    } else if is_on_probation(worker, task, now) {
        Some(Obstacle::Probation)
    } else if !step.label.is_empty() && !worker.report.labels.contains(&step.label) {
        Some(Obstacle::Label)
    } else if step.per_worker > 0 && worker.siblings(task.task) >= step.per_worker {
        Some(Obstacle::WorkerLimit)
    } else {
        None
    }
}

fn is_closed(worker: &Worker, task: Candidate<'_>, now: Moment) -> bool {
    let health = &worker.health;
    let accepts_waiting = || {
        health.accepts_waiting_task(task.task, task.step, now)
            && !(task.last_attempt && health.rejects_last_attempt(task.task, task.step, now))
    };
    match task.tolerance {
        Tolerance::Closed | Tolerance::Reserved => !accepts_waiting(),
        Tolerance::Probation => !health.accepts_tasks(now) || !accepts_waiting(),
        Tolerance::Usual | Tolerance::Busy => !health.accepts_tasks(now),
    }
}

fn is_on_probation(worker: &Worker, task: Candidate<'_>, now: Moment) -> bool {
    task.tolerance < Tolerance::Probation
        && !task.step.long_running
        && !worker.health.accepts_short_task(task.task, task.step, now)
}

//! What an agent holds of one worker.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Resources;
use agate_jobs::lease::{self, ClockReading};
use agate_jobs::{Order, Standing, TaskKey, WorkerLife, WorkerReport, WorkerState};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::AgentContext;
use super::introduce::Introduction;
use super::pacing::Pacing;
use super::port::{Heartbeat, Worker};
use super::stall::Progress;
use crate::clock;

/// Speed of a worker's clock at its slowest, two percent slow, turned into a factor on real time.
const SLOW_CLOCK: f64 = 1.021;

/// Where a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start is on its way.
    Starting,
    /// The worker answered the start, at this time of the boot clock.
    Started(Duration),
    /// A stop is on its way.
    Stopping,
    /// The worker answered the stop, at this time of the boot clock.
    Stopped(Duration),
    /// The start got no answer up to this time of the boot clock.
    Doubtful(Duration),
    /// Its end is being recorded or is on record.
    Ended,
}

/// A run that an order has brought to this agent.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub number: u32,
    pub phase: Phase,
    /// When it was first known to run, or when its start was sent.
    pub since: Instant,
    pub progress: Progress,
    /// Whether it was stopped because it got no further.
    pub stalled: bool,
    /// Lists in a row, begun after the worker's answer, in which it was missing.
    pub missing: u32,
}

/// A worker and everything its agent knows of it.
#[derive(Debug)]
pub(super) struct Held {
    pub context: AgentContext,
    pub port: Arc<dyn Worker>,
    /// Told when orders, standing or state have changed.
    pub changed: Notify,
    state: Mutex<State>,
}

/// State of a [`Held`] worker.
#[derive(Debug)]
pub(super) struct State {
    pub life: WorkerLife,
    pub beat: Heartbeat,
    pub duty: WorkerState,
    pub orders: HashMap<TaskKey, Order>,
    pub standing: Option<Standing>,
    /// Boot clock at the start of the newest read that reached the end of the orders.
    pub evidence: Option<Duration>,
    pub clock: Option<ClockReading>,
    /// Boot clock at which every lease granted so far has surely lapsed.
    pub lapses_at: Duration,
    pub runs: HashMap<TaskKey, Run>,
    /// Ends up to this number are on record.
    pub seen: u64,
    /// Highest number of an end that is being recorded.
    pub recording: u64,
    pub pacing: Pacing,
    pub introduction: Introduction,
    pub reported: Option<Instant>,
    /// Whether the worker has listed its runs since this agent started.
    pub looked: bool,
    /// Whether the worker has not answered since its lease lapsed.
    pub unreachable: bool,
}

impl Run {
    /// A run that is in `phase` from now on.
    pub fn new(number: u32, phase: Phase) -> Self {
        Self {
            number,
            phase,
            since: Instant::now(),
            progress: Progress::default(),
            stalled: false,
            missing: 0,
        }
    }
}

impl Held {
    pub fn new(context: AgentContext, beat: Heartbeat) -> Self {
        let port = (context.dial)(&beat.address);
        let lease = lease::length(context.max_lease);
        let state = State {
            life: WorkerLife {
                name: beat.name.clone(),
                born: beat.born,
                term: 0,
            },
            duty: state_of(&beat),
            beat,
            orders: HashMap::new(),
            standing: None,
            evidence: None,
            clock: None,
            lapses_at: clock::boottime() + lease::lapse(lease),
            runs: HashMap::new(),
            seen: 0,
            recording: 0,
            pacing: Pacing::default(),
            introduction: Introduction::default(),
            reported: None,
            looked: false,
            unreachable: false,
        };
        Self {
            context,
            port,
            changed: Notify::new(),
            state: Mutex::new(state),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lease that the newest evidence allows, as a time of the boot clock; `None` while the
    /// lease may not be extended.
    pub fn allowed_until(&self, state: &State) -> Option<Duration> {
        let suspected = state.standing.as_ref().is_some_and(|s| s.suspected);
        if suspected || state.duty == WorkerState::Lapsed {
            return None;
        }
        let evidence = state.evidence?;
        Some(evidence + lease::length(self.context.max_lease))
    }
}

impl State {
    /// Takes a heartbeat of the same incarnation; returns whether something has changed.
    pub fn take_beat(&mut self, beat: Heartbeat) -> bool {
        if beat.sequence < self.beat.sequence {
            return false;
        }
        let was = (self.duty, self.beat.capacity, self.beat.labels.clone());
        if self.duty == WorkerState::Ready && !self.unreachable {
            self.duty = state_of(&beat);
        }
        self.beat = beat;
        was != (self.duty, self.beat.capacity, self.beat.labels.clone())
    }

    /// Time since the worker last answered; zero before its first answer.
    pub fn silent_for(&self, now: Duration) -> Duration {
        self.clock
            .map_or(Duration::ZERO, |reading| now.saturating_sub(reading.at))
    }

    /// Takes note of a lease granted up to `deadline_ms` on the worker's clock.
    pub fn granted(&mut self, deadline_ms: u64) {
        let Some(reading) = self.clock else {
            return;
        };
        let ahead = Duration::from_millis(deadline_ms.saturating_sub(reading.worker_ms));
        let lapses = reading.at + ahead.mul_f64(SLOW_CLOCK);
        self.lapses_at = self.lapses_at.max(lapses);
    }

    /// Takes note that the worker answers.
    pub fn answered(&mut self) {
        self.looked = true;
        if self.unreachable && self.duty == WorkerState::Draining {
            self.duty = state_of(&self.beat);
            self.reported = None;
        }
        self.unreachable = false;
    }

    /// Takes note that the lapse of the lease is settled. A worker that doesn't answer yet takes no
    /// tasks until it does.
    pub fn resume_after_lapse(&mut self) {
        if self.duty != WorkerState::Lapsed {
            return;
        }
        self.duty = if self.unreachable {
            WorkerState::Draining
        } else {
            state_of(&self.beat)
        };
    }

    /// Whether an order is meant for the current term of this incarnation.
    pub fn is_current(&self, order: &Order) -> bool {
        order.life == self.life
    }

    /// Whether an order of the current term stands for a run.
    pub fn is_ordered(&self, task: TaskKey, run: u32) -> bool {
        let order = self.orders.get(&task);
        order.is_some_and(|order| order.run == run && self.is_current(order))
    }

    /// Runs that were ordered for earlier lives of the worker.
    pub fn earlier_runs(&self) -> HashSet<(TaskKey, u32)> {
        let earlier = self.orders.values();
        earlier
            .filter(|order| order.life.born < self.life.born)
            .map(|order| (order.task, order.run))
            .collect()
    }

    /// Whether the end of a run counts: an order of the current term stands for it, or one for an
    /// earlier life that the scheduler still takes as the present one.
    pub fn awaits_end(&self, task: TaskKey, run: u32) -> bool {
        let earlier = self
            .orders
            .get(&task)
            .is_some_and(|order| order.run == run && order.life.born < self.life.born);
        self.is_ordered(task, run) || (earlier && !self.introduction.is_done())
    }

    /// The report to the scheduling entry.
    pub fn report(&self) -> WorkerReport {
        let mut capacity = self.beat.capacity;
        if self.duty == WorkerState::Gone {
            capacity = Resources::ZERO;
        }
        WorkerReport {
            life: self.life.clone(),
            state: self.duty,
            service: self.beat.service.clone(),
            capacity,
            labels: self.beat.labels.clone(),
            address: self.beat.address.clone(),
            zone: self.beat.zone.clone(),
            answers: self.standing.as_ref().map_or(0, |s| s.suspicion),
            headroom: self.pacing.headroom(),
            pressures: self.pacing.pressures(),
        }
    }
}

const fn state_of(beat: &Heartbeat) -> WorkerState {
    if beat.draining {
        WorkerState::Draining
    } else {
        WorkerState::Ready
    }
}

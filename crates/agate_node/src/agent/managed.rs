//! What an agent holds of one worker.

use std::collections::{HashMap, HashSet};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Resources;
use agate_jobs::lease::{self, ClockReading};
use agate_jobs::{Order, SuspicionRecord, TaskKey, WorkerIncarnation, WorkerReport, WorkerState};
use tokio::sync::Notify;
use tokio::time::Instant;

use super::AgentContext;
use super::client::{Heartbeat, WorkerClient};
use super::introduction::Introduction;
use super::pacing::Pacing;
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
    Unconfirmed(Duration),
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
    pub missing_lists: u32,
}

/// A worker and everything its agent knows of it.
#[derive(Debug)]
pub(super) struct ManagedWorker {
    pub context: AgentContext,
    pub client: Arc<dyn WorkerClient>,
    /// Told when orders, standing or state have changed.
    pub changed: Notify,
    state: Mutex<State>,
}

/// State of a [`Held`] worker.
#[derive(Debug)]
pub(super) struct State {
    pub incarnation: WorkerIncarnation,
    pub heartbeat: Heartbeat,
    pub status: WorkerState,
    pub orders: HashMap<TaskKey, Order>,
    pub suspicion: Option<SuspicionRecord>,
    /// Boot clock at the start of the newest read that reached the end of the orders.
    pub synced_at: Option<Duration>,
    pub clock: Option<ClockReading>,
    /// Boot clock at which every lease granted so far has surely lapsed.
    pub lapses_at: Duration,
    pub runs: HashMap<TaskKey, Run>,
    /// Ends up to this number are on record.
    pub recorded_up_to: u64,
    /// Highest number of an end that is being recorded.
    pub recording_up_to: u64,
    pub pacing: Pacing,
    pub introduction: Introduction,
    pub reported_at: Option<Instant>,
    /// Whether the worker has listed its runs since this agent started.
    pub has_listed: bool,
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
            missing_lists: 0,
        }
    }
}

impl ManagedWorker {
    pub fn new(context: AgentContext, heartbeat: Heartbeat) -> Self {
        let client = (context.dial)(&heartbeat.address);
        let lease = lease::duration(context.max_lease);
        let state = State {
            incarnation: WorkerIncarnation {
                name: heartbeat.name.clone(),
                started_ms: heartbeat.started_ms,
                term: 0,
            },
            status: status_of(&heartbeat),
            heartbeat,
            orders: HashMap::new(),
            suspicion: None,
            synced_at: None,
            clock: None,
            lapses_at: clock::boottime() + lease::expiry_delay(lease),
            runs: HashMap::new(),
            recorded_up_to: 0,
            recording_up_to: 0,
            pacing: Pacing::default(),
            introduction: Introduction::default(),
            reported_at: None,
            has_listed: false,
            unreachable: false,
        };
        Self {
            context,
            client,
            changed: Notify::new(),
            state: Mutex::new(state),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The lease that the newest evidence allows, as a time of the boot clock; `None` while the
    /// lease may not be extended.
    pub fn lease_limit(&self, state: &State) -> Option<Duration> {
        let suspected = state.suspicion.as_ref().is_some_and(|s| s.suspected);
        if suspected || state.status == WorkerState::Lapsed {
            return None;
        }
        let synced_at = state.synced_at?;
        Some(synced_at + lease::duration(self.context.max_lease))
    }
}

impl State {
    /// Takes a heartbeat of the same incarnation; returns whether something has changed.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat) -> bool {
        if heartbeat.sequence < self.heartbeat.sequence {
            return false;
        }
        let was = (
            self.status,
            self.heartbeat.capacity,
            self.heartbeat.labels.clone(),
        );
        if self.status == WorkerState::Ready && !self.unreachable {
            self.status = status_of(&heartbeat);
        }
        self.heartbeat = heartbeat;
        was != (
            self.status,
            self.heartbeat.capacity,
            self.heartbeat.labels.clone(),
        )
    }

    /// Time since the worker last answered; zero before its first answer.
    pub fn silent_for(&self, now: Duration) -> Duration {
        self.clock
            .map_or(Duration::ZERO, |reading| now.saturating_sub(reading.at))
    }

    /// Takes note of a lease granted up to `deadline_ms` on the worker's clock.
    pub fn record_grant(&mut self, deadline_ms: u64) {
        let Some(reading) = self.clock else {
            return;
        };
        let ahead = Duration::from_millis(deadline_ms.saturating_sub(reading.worker_ms));
        let lapses = reading.at + ahead.mul_f64(SLOW_CLOCK);
        self.lapses_at = self.lapses_at.max(lapses);
    }

    /// Takes note that the worker answers.
    pub fn record_answer(&mut self) {
        self.has_listed = true;
        if self.unreachable && self.status == WorkerState::Draining {
            self.status = status_of(&self.heartbeat);
            self.reported_at = None;
        }
        self.unreachable = false;
    }

    /// Takes note that the lapse of the lease is settled. A worker that doesn't answer yet takes no
    /// tasks until it does.
    pub fn resume_after_lapse(&mut self) {
        if self.status != WorkerState::Lapsed {
            return;
        }
        self.status = if self.unreachable {
            WorkerState::Draining
        } else {
            status_of(&self.heartbeat)
        };
    }

    /// Whether an order is meant for the current term of this incarnation.
    pub fn is_current(&self, order: &Order) -> bool {
        order.incarnation == self.incarnation
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
            .filter(|order| order.incarnation.started_ms < self.incarnation.started_ms)
            .map(|order| (order.task, order.run))
            .collect()
    }

    /// Whether the end of a run counts: an order of the current term stands for it, or one for an
    /// earlier life that the scheduler still takes as the present one.
    pub fn awaits_end(&self, task: TaskKey, run: u32) -> bool {
        let earlier = self.orders.get(&task).is_some_and(|order| {
            order.run == run && order.incarnation.started_ms < self.incarnation.started_ms
        });
        self.is_ordered(task, run) || (earlier && !self.introduction.is_done())
    }

    /// The report to the scheduling entry.
    pub fn report(&self) -> WorkerReport {
        let mut capacity = self.heartbeat.capacity;
        if self.status == WorkerState::Gone {
            capacity = Resources::ZERO;
        }
        WorkerReport {
            incarnation: self.incarnation.clone(),
            state: self.status,
            service: self.heartbeat.service.clone(),
            capacity,
            labels: self.heartbeat.labels.clone(),
            address: self.heartbeat.address.clone(),
            zone: self.heartbeat.zone.clone(),
            acked_suspicion: self.suspicion.as_ref().map_or(0, |s| s.number),
            headroom: self.pacing.headroom(),
            interference: self.pacing.interference(),
        }
    }
}

const fn status_of(heartbeat: &Heartbeat) -> WorkerState {
    if heartbeat.draining {
        WorkerState::Draining
    } else {
        WorkerState::Ready
    }
}

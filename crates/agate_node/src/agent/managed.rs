//! A worker that the agent manages.

use std::collections::{BTreeSet, HashMap, HashSet};
use std::fmt::Display;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{JobId, Resources};
use agate_jobs::lease::{self, ClockReading};
use agate_jobs::{
    AgentState, Order, OrderKind, RunEnd, StartBlock, SuspicionRecord, TaskKey, WorkerIncarnation,
    WorkerReport, WorkerState,
};
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::AgentContext;
use super::client::{Heartbeat, WorkerClient};
use super::clock_check::ClockCheck;
use super::crash::Contact;
use super::doubts::{Doubt, Doubts};
use super::grants::Grants;
use super::identity::Identity;
use super::introduction::Introduction;
use super::pacing::Pacing;
use super::resend::{LateStarts, Resends};
use super::run::{Phase, Run};
use super::sequence::SequenceOrder;
use super::unstarted::UnstartedRuns;
use super::waiting::WaitingOrders;
use super::zones::ZoneWatch;
use crate::clock;
use crate::skipped::SkippedRecords;

/// Number of started jobs that a report lists, about 1 kB. The others are left to the next reports.
const MAX_STARTED_JOBS: usize = 50;

/// A worker and what its agent knows about it.
#[derive(Debug)]
pub(super) struct ManagedWorker {
    pub context: AgentContext,
    pub doubts: Arc<Doubts>,
    pub client: Arc<dyn WorkerClient>,
    /// The withdrawn zones; `None` if the deployment has no withdrawal of zones.
    pub zones: Option<Arc<ZoneWatch>>,
    /// Boot time at which the agent learned of this incarnation.
    pub created_at: Duration,
    pub skipped: SkippedRecords,
    /// Notified when orders, suspicion or state have changed.
    pub changed: Notify,
    /// Notified when a list that a resend waits for has been answered or has failed.
    pub listed: Notify,
    /// Cancelled once it is recorded that the worker has left.
    pub departed: CancellationToken,
    state: Mutex<State>,
}

/// State of a [`ManagedWorker`].
#[derive(Debug)]
pub(super) struct State {
    pub incarnation: WorkerIncarnation,
    pub heartbeat: Heartbeat,
    /// Order of its heartbeats.
    pub sequence: SequenceOrder,
    /// Boot time until which the worker is slow after its start.
    pub cold_until: Duration,
    /// Whether reports say how long the worker stays slow.
    pub reports_cold: bool,
    pub status: WorkerState,
    pub agent: AgentState,
    pub orders: HashMap<TaskKey, Order>,
    /// Offset up to which the orders have been read.
    pub next_order: u64,
    pub waiting: WaitingOrders,
    pub unstarted: UnstartedRuns,
    /// What keeps the agent from starting anything.
    pub start_block: Option<StartBlock>,
    pub suspicion: Option<SuspicionRecord>,
    /// Boot time at the start of the newest read that reached the end of the orders.
    pub synced_at: Option<Duration>,
    pub clock: Option<ClockReading>,
    pub clock_check: ClockCheck,
    pub contact: Contact,
    pub identity: Identity,
    pub grants: Grants,
    pub runs: HashMap<TaskKey, Run>,
    pub resends: Resends,
    /// Starts that this incarnation or an earlier one may still carry out.
    pub late_starts: LateStarts,
    /// Ends up to this number are recorded.
    pub recorded_up_to: u64,
    /// Ends up to this number are recorded or being recorded.
    pub recording_up_to: u64,
    /// Number of an end in the newest list that was not believed. The worker lists it again at once.
    pub rejected_end: Option<u64>,
    pub pacing: Pacing,
    pub introduction: Introduction,
    /// Starts of earlier incarnations that this one may carry out.
    pub earlier_starts: HashSet<(TaskKey, u32)>,
    pub reported_at: Option<Instant>,
    /// The states in the newest report that is recorded.
    pub recorded: Option<(WorkerState, AgentState)>,
    /// Ends of runs that went down with a crash of this incarnation or the one before. They are recorded
    /// with the next report.
    pub crash_ends: Vec<RunEnd>,
    /// Jobs that were queued when a run was bound, and whose start is not yet recorded with a report.
    pub started_jobs: BTreeSet<JobId>,
    /// Whether the worker has listed its runs since this agent started.
    pub has_listed: bool,
    /// Whether the worker has not answered since its lease lapsed.
    pub unreachable: bool,
    /// Boot time at which a message said that the worker has left; `None` if it has answered since.
    pub departure: Option<Duration>,
}

impl ManagedWorker {
    pub fn new(
        context: AgentContext,
        doubts: Arc<Doubts>,
        zones: Option<Arc<ZoneWatch>>,
        heartbeat: Heartbeat,
        late_starts: LateStarts,
    ) -> Self {
        let earlier_starts = late_starts.runs().collect();
        let client = (context.dial)(heartbeat.address);
        let lease = lease::duration(context.max_lease);
        let state = State {
            incarnation: WorkerIncarnation {
                name: heartbeat.name.clone(),
                started_ms: heartbeat.started_ms,
                term: 0,
            },
            status: status_of(&heartbeat),
            cold_until: clock::boottime() + Duration::from_millis(heartbeat.cold_ms),
            reports_cold: zones.is_some(),
            sequence: SequenceOrder::new(heartbeat.sequence),
            heartbeat,
            agent: AgentState::Serving,
            orders: HashMap::new(),
            next_order: 0,
            waiting: WaitingOrders::default(),
            unstarted: UnstartedRuns::default(),
            start_block: None,
            suspicion: None,
            synced_at: None,
            clock: None,
            clock_check: ClockCheck::default(),
            contact: Contact::default(),
            identity: Identity::Unconfirmed,
            grants: Grants::new(clock::boottime() + lease::expiry_delay(lease)),
            runs: HashMap::new(),
            resends: Resends::default(),
            late_starts,
            recorded_up_to: 0,
            recording_up_to: 0,
            rejected_end: None,
            pacing: Pacing::default(),
            introduction: Introduction::default(),
            earlier_starts,
            reported_at: None,
            recorded: None,
            crash_ends: Vec::new(),
            started_jobs: BTreeSet::new(),
            has_listed: false,
            unreachable: false,
            departure: None,
        };
        Self {
            context,
            doubts,
            client,
            zones,
            created_at: clock::boottime(),
            skipped: SkippedRecords::default(),
            changed: Notify::new(),
            listed: Notify::new(),
            departed: CancellationToken::new(),
            state: Mutex::new(state),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a message of the worker that was not believed.
    pub fn reject(&self, state: &State, doubt: Doubt, detail: &dyn Display) {
        let name = &state.incarnation.name;
        self.doubts
            .record(&self.context.metrics, doubt, name, detail);
    }

    /// Records that a call to the worker was answered, or that it failed. The worker is reported at once
    /// if it has become reachable or unreachable.
    pub fn record_contact(&self, state: &mut State, answered: bool) {
        let was_unreachable = state.contact.is_unreachable();
        if answered {
            state.contact.record_answer();
        } else {
            state.contact.record_failure();
        }
        if state.contact.is_unreachable() != was_unreachable {
            state.reported_at = None;
            self.changed.notify_waiters();
        }
    }

    /// Records that this incarnation has answered a lease renewal.
    pub fn confirm(&self, state: &mut State) {
        self.record_contact(state, true);
        if state.identity == Identity::Other {
            self.changed.notify_waiters();
        }
        state.identity = Identity::Confirmed;
    }

    /// Records that a call has failed.
    pub fn record_failure(&self, state: &mut State) {
        self.record_contact(state, false);
        state.identity.doubt();
    }

    /// Records that another incarnation has answered a lease renewal.
    pub fn record_other(&self, state: &mut State) {
        self.record_contact(state, false);
        if state.identity != Identity::Other {
            log::warn!(
                event = "worker_restarted", worker:% = state.incarnation;
                "another incarnation answers; waiting for its heartbeat"
            );
        }
        state.identity = Identity::Other;
    }

    /// Records that the worker has left.
    pub fn record_gone(&self, state: &mut State) {
        state.status = WorkerState::Gone;
        state.reported_at = None;
        log::info!(event = "worker_left", worker:% = state.incarnation; "");
        self.changed.notify_waiters();
    }

    /// Returns the boot time up to which the lease may be renewed; `None` if it may not.
    pub fn lease_limit(&self, state: &State) -> Option<Duration> {
        if state.is_suspected() || state.status == WorkerState::Lapsed {
            return None;
        }
        let synced_at = state.synced_at?;
        Some(synced_at + lease::duration(self.context.max_lease))
    }
}

impl State {
    /// Applies a heartbeat of the same incarnation. Returns whether anything has changed.
    ///
    /// # Errors
    ///
    /// Returns the reason if the heartbeat is not the newest one, or names an address that has not
    /// confirmed it.
    pub fn apply_heartbeat(&mut self, heartbeat: Heartbeat) -> Result<bool, Doubt> {
        if heartbeat.address != self.heartbeat.address {
            return Err(Doubt::OtherAddress);
        }
        if !self.sequence.accept(heartbeat.sequence) {
            return self.apply_doubted(&heartbeat);
        }
        let was = (
            self.status,
            self.heartbeat.capacity,
            self.heartbeat.labels.clone(),
        );
        let in_service = matches!(self.status, WorkerState::Ready | WorkerState::Draining);
        if in_service && !self.unreachable {
            self.status = status_of(&heartbeat);
        }
        self.cold_until = clock::boottime() + Duration::from_millis(heartbeat.cold_ms);
        self.heartbeat = heartbeat;
        let is = (
            self.status,
            self.heartbeat.capacity,
            self.heartbeat.labels.clone(),
        );
        Ok(was != is)
    }

    /// Applies a heartbeat whose number is out of range. That the worker drains is believed until a heartbeat in
    /// range says otherwise: a start on a worker that leaves is worse than a pause of a second, and a worker may number
    /// its heartbeats in any steps. Returns whether anything has changed.
    fn apply_doubted(&mut self, heartbeat: &Heartbeat) -> Result<bool, Doubt> {
        if !heartbeat.draining || !self.sequence.is_later(heartbeat.sequence) {
            return Err(Doubt::OutOfSequence);
        }
        let was = self.status;
        self.heartbeat.draining = true;
        if self.status == WorkerState::Ready {
            self.status = WorkerState::Draining;
        }
        Ok(was != self.status)
    }

    /// Returns whether the newest suspicion that has been read is open.
    pub fn is_suspected(&self) -> bool {
        self.suspicion.as_ref().is_some_and(|s| s.suspected)
    }

    /// Returns whether the worker has left or announced that it leaves.
    pub fn is_leaving(&self) -> bool {
        self.heartbeat.draining || self.status == WorkerState::Gone
    }

    /// Returns the time since the worker last answered; zero before its first answer.
    pub fn silent_for(&self, now: Duration) -> Duration {
        self.clock
            .map_or(Duration::ZERO, |reading| now.saturating_sub(reading.at))
    }

    /// Records that the worker has answered.
    pub fn record_answer(&mut self) {
        self.has_listed = true;
        if self.unreachable && self.status == WorkerState::Draining {
            self.status = status_of(&self.heartbeat);
            self.reported_at = None;
        }
        self.unreachable = false;
    }

    /// Ends the lapsed state once the scheduler has settled it. A worker that still doesn't answer
    /// gets no tasks until it does.
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

    /// Returns whether an order is for the current term of this incarnation.
    pub fn is_current(&self, order: &Order) -> bool {
        order.incarnation == self.incarnation
    }

    /// Returns whether an order of the current term requires this run.
    pub fn is_ordered(&self, task: TaskKey, run: u32) -> bool {
        let order = self.orders.get(&task);
        order.is_some_and(|order| order.run == run && self.is_current(order))
    }

    /// Returns whether a run fits beside the other runs in progress, those that are being stopped included. The
    /// worker's capacity may have shrunk since the scheduler bound the run.
    pub fn has_room(&self, order: &Order) -> bool {
        let others = self.orders.values();
        let in_progress = others
            .filter(|known| known.task != order.task)
            .filter(|known| {
                let run = self.runs.get(&known.task);
                run.is_some_and(|run| run.number == known.run && run.phase != Phase::Ended)
            });
        let used = in_progress.fold(Resources::ZERO, |used, known| used + known.occupies());
        (used + order.occupies()).fits_in(self.heartbeat.capacity)
    }

    /// Forgets a run, so that its order is executed anew.
    pub fn forget_run(&mut self, task: TaskKey, number: u32) {
        let known = self.runs.get(&task);
        if known.is_some_and(|run| run.number == number) {
            self.runs.remove(&task);
        }
    }

    /// Returns the runs that were ordered for earlier incarnations of the worker, or whose starts these
    /// have not answered.
    pub fn earlier_runs(&self) -> HashSet<(TaskKey, u32)> {
        let earlier = self.orders.values();
        earlier
            .filter(|order| order.incarnation.started_ms < self.incarnation.started_ms)
            .map(|order| (order.task, order.run))
            .chain(self.earlier_starts.iter().copied())
            .collect()
    }

    /// Returns whether the end of a run has to be recorded: the run is ordered in the current term,
    /// or was ordered for an earlier incarnation that the scheduler still considers current.
    pub fn awaits_end(&self, task: TaskKey, run: u32) -> bool {
        let earlier = self.orders.get(&task).is_some_and(|order| {
            order.run == run && order.incarnation.started_ms < self.incarnation.started_ms
        });
        self.is_ordered(task, run) || (earlier && !self.introduction.is_done())
    }

    /// Records that a run has certainly started. The next report lists its job if that was queued when
    /// the run was bound.
    pub fn confirm_start(&mut self, task: TaskKey, number: u32) {
        let run = self.runs.get_mut(&task);
        let Some(run) = run.filter(|run| run.number == number && !run.confirmed) else {
            return;
        };
        run.confirmed = true;
        let order = self.orders.get(&task).filter(|order| order.run == number);
        if order.is_some_and(is_first_start) {
            self.started_jobs.insert(task.job);
        }
    }

    /// Lists the jobs of all runs in progress again that [`Self::confirm_start`] has listed.
    pub fn relist_started(&mut self) {
        let is_confirmed = |order: &&Order| {
            let run = self.runs.get(&order.task);
            run.is_some_and(|run| run.number == order.run && run.confirmed)
        };
        let orders = self.orders.values().filter(|order| is_first_start(order));
        let jobs = orders.filter(is_confirmed).map(|order| order.task.job);
        self.started_jobs.extend(jobs);
    }

    /// Returns the report to the leader.
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
            address: self.heartbeat.address.to_string(),
            zone: self.heartbeat.zone.clone(),
            acked_suspicion: self.suspicion.as_ref().map_or(0, |s| s.number),
            headroom: self.pacing.headroom(),
            interference: self.pacing.interference(),
            cold_ms: self.cold_ms(),
            unreachable: self.contact.is_unreachable(),
            start_block: self.start_block,
            agent: self.agent,
            heartbeat: self.sequence.highest(),
            started_jobs: self
                .started_jobs
                .iter()
                .take(MAX_STARTED_JOBS)
                .copied()
                .collect(),
            not_started: self.unstarted.overdue(),
        }
    }

    fn cold_ms(&self) -> u64 {
        if !self.reports_cold {
            return 0;
        }
        clock::millis(self.cold_until.saturating_sub(clock::boottime()))
    }
}

const fn is_first_start(order: &Order) -> bool {
    matches!(order.kind, OrderKind::Start { first: true, .. })
}

const fn status_of(heartbeat: &Heartbeat) -> WorkerState {
    if heartbeat.draining {
        WorkerState::Draining
    } else {
        WorkerState::Ready
    }
}

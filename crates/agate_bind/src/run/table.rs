//! Table of the runs of one incarnation.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use agate_core::{Moment, Position, Resources, RunId};
use displaydoc::Display;

use super::{Lease, RunEvent, RunState, RunStep, RunTransitionError};

/// Result of binding a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunBindOutcome {
    /// The run is new here. Whoever called `bind` must start it.
    New,
    /// The run is already known here and must not be started again.
    Known(RunState),
    /// The run never starts here. Unless it is refused as too old, it has never started.
    Refused(RunRefusal),
}

/// Why a run was not bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RunRefusal {
    /// the incarnation was recorded as lost
    Lost,
    /// the worker has no room for it
    NoRoom,
    /// its binding is older than what is remembered here
    TooOld,
    /// the table of runs is full
    Full,
}

impl std::error::Error for RunRefusal {}

/// Result of a step against a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStopOutcome {
    /// The run is now in this state, and the worker must be notified.
    Active(RunState),
    /// The run never started here and never will.
    NotStarted,
    /// The run has ended here.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct RunEntry {
    state: RunState,
    demand: Resources,
    bound: Option<Position>,
}

/// The runs of one incarnation, the resources they hold and their shared lease.
#[derive(Debug)]
pub struct RunTable {
    capacity: Resources,
    limit: usize,
    entries: BTreeMap<RunId, RunEntry>,
    /// Closed runs that may be forgotten, in the order in which they were closed.
    closed: VecDeque<RunId>,
    /// Unknown runs bound at or before this log position never start.
    forgotten_through: Position,
    lease: Lease,
    lost: bool,
}

impl RunTable {
    /// Creates an empty table that remembers `limit` runs of a worker with `capacity`.
    pub fn new(capacity: Resources, limit: usize) -> Self {
        Self {
            capacity,
            limit,
            entries: BTreeMap::new(),
            closed: VecDeque::new(),
            forgotten_through: Position::default(),
            lease: Lease::default(),
            lost: false,
        }
    }

    /// Binds `run`, whose binding is at `bound` in the log, and reserves `demand` for it. A refused
    /// run is tombstoned. A run that is bound while the lease has expired starts paused.
    pub fn bind(&mut self, run: RunId, bound: Position, demand: Resources) -> RunBindOutcome {
        if let Some(entry) = self.entries.get(&run) {
            return RunBindOutcome::Known(entry.state);
        }
        let (state, outcome) = match self.check_bind(bound, demand) {
            None => (RunState::Starting, RunBindOutcome::New),
            Some(refusal) => (RunState::Tombstoned, RunBindOutcome::Refused(refusal)),
        };
        self.insert(run, state, demand, Some(bound));
        outcome
    }

    fn check_bind(&mut self, bound: Position, demand: Resources) -> Option<RunRefusal> {
        // A forgotten run may have run and been recorded, so no other reason may be given.
        if bound <= self.forgotten_through {
            return Some(RunRefusal::TooOld);
        }
        if self.lost {
            return Some(RunRefusal::Lost);
        }
        if !demand.fits_in(self.capacity.saturating_sub(self.held())) {
            return Some(RunRefusal::NoRoom);
        }
        self.forget_closed();
        (self.entries.len() >= self.limit).then_some(RunRefusal::Full)
    }

    /// Records that the worker has started the run.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run is not starting, for example because it was
    /// stopped in the meantime.
    pub fn start(&mut self, run: RunId) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::Start)
    }

    /// Records that the run provably never started on the worker.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run is not starting.
    pub fn refuse(&mut self, run: RunId) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::Refuse)
    }

    /// Tombstones an unknown run without resources or log position.
    pub fn tombstone(&mut self, run: RunId) {
        if !self.entries.contains_key(&run) {
            self.insert(run, RunState::Tombstoned, Resources::ZERO, None);
        }
    }

    /// Applies `step` to the run. An unknown run is tombstoned, whatever the step, because the
    /// reply promises that it will never start.
    pub fn stop(&mut self, run: RunId, step: RunStep) -> RunStopOutcome {
        let Some(entry) = self.entries.get_mut(&run) else {
            self.tombstone(run);
            return RunStopOutcome::NotStarted;
        };
        match entry.state.next(RunEvent::Stop(step)) {
            Ok(state) => {
                entry.state = state;
                RunStopOutcome::Active(state)
            }
            Err(RunTransitionError) if entry.state == RunState::Tombstoned => {
                RunStopOutcome::NotStarted
            }
            Err(RunTransitionError) => RunStopOutcome::Ended,
        }
    }

    /// Records that the run has ended.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run is not active.
    pub fn end(&mut self, run: RunId, end: super::RunEnd) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::End(end))
    }

    /// Acknowledges that an entry has recorded the end of the run.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run has not ended or is recorded already.
    pub fn acknowledge(&mut self, run: RunId) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::Acknowledge)
    }

    /// Renews the lease as in [`Lease::renew`], unless the incarnation is lost.
    pub fn renew(&mut self, sent: Moment, length: Duration) {
        if !self.lost {
            self.lease.renew(sent, length);
        }
    }

    /// Marks the incarnation as lost, so that no run starts and the lease is not renewed any more.
    /// Returns the runs that the worker must stop.
    pub fn mark_lost(&mut self) -> Vec<RunId> {
        self.lost = true;
        let active = self.active();
        for entry in self.entries.values_mut() {
            if let Ok(state) = entry.state.next(RunEvent::IncarnationLost) {
                entry.state = state;
            }
        }
        active
    }

    /// Returns the lease shared by all runs.
    pub const fn lease(&self) -> Lease {
        self.lease
    }

    /// Returns the state of a run, if it is known.
    pub fn state(&self, run: RunId) -> Option<RunState> {
        self.entries.get(&run).map(|entry| entry.state)
    }

    /// Returns the runs that the worker may be executing.
    pub fn active(&self) -> Vec<RunId> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| entry.state.is_active())
            .map(|(run, _)| *run)
            .collect()
    }

    /// Returns the runs whose end is not known to be recorded.
    pub fn open(&self) -> Vec<RunId> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| entry.state.is_open())
            .map(|(run, _)| *run)
            .collect()
    }

    /// Returns the number of ended runs whose end is not recorded yet.
    pub fn unreported(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| matches!(entry.state, RunState::Ended(_)))
            .count()
    }

    /// Returns the resources held by all runs.
    pub fn held(&self) -> Resources {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.state.holds_resources())
            .fold(Resources::ZERO, |sum, entry| sum + entry.demand)
    }

    fn insert(&mut self, run: RunId, state: RunState, demand: Resources, bound: Option<Position>) {
        let entry = RunEntry {
            state,
            demand,
            bound,
        };
        self.entries.insert(run, entry);
        self.record_closed(run);
    }

    fn apply(&mut self, run: RunId, event: RunEvent) -> Result<(), RunTransitionError> {
        let Some(entry) = self.entries.get_mut(&run) else {
            return Err(RunTransitionError);
        };
        entry.state = entry.state.next(event)?;
        self.record_closed(run);
        Ok(())
    }

    /// Marks a run as closed, and thus forgettable, if it is in a final state.
    fn record_closed(&mut self, run: RunId) {
        let Some(entry) = self.entries.get(&run) else {
            return;
        };
        let closed = matches!(entry.state, RunState::Tombstoned | RunState::Acknowledged);
        // Without the log position of its binding, a forgotten run can't be told from a new one.
        if closed && entry.bound.is_some() {
            self.closed.push_back(run);
        }
    }

    /// Forgets the oldest closed runs while the table is full, and advances `forgotten_through` to
    /// their bindings.
    fn forget_closed(&mut self) {
        while self.entries.len() >= self.limit {
            let Some(run) = self.closed.pop_front() else {
                return;
            };
            let entry = self.entries.remove(&run);
            if let Some(bound) = entry.and_then(|entry| entry.bound) {
                self.forgotten_through = self.forgotten_through.max(bound);
            }
        }
    }
}

//! The runs of one incarnation.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use agate_core::{Moment, Position, Resources, RunId};
use displaydoc::Display;

use super::{Lease, RunEvent, RunState, RunStep, RunTransitionError};

/// What became of a request to start a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunBindOutcome {
    /// The run is new here; the caller of `bind` starts it.
    New,
    /// The run is known here; the request must not start it again.
    Known(RunState),
    /// The run never starts here; unless it is refused as too old, it never has.
    Refused(RunRefusal),
}

/// Why a run is not started.
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

/// What became of a request for a step against a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunStopOutcome {
    /// The run is in this state now; the worker has to be told.
    Active(RunState),
    /// The run never started here and never will.
    NotStarted,
    /// The run has ended here.
    Ended,
}

#[derive(Debug, Clone, Copy)]
struct Entry {
    state: RunState,
    demand: Resources,
    bound: Option<Position>,
}

/// The runs of one incarnation, with the room that they hold and the lease that they share.
#[derive(Debug)]
pub struct RunTable {
    capacity: Resources,
    limit: usize,
    entries: BTreeMap<RunId, Entry>,
    /// Closed runs that may be forgotten, the oldest first.
    closed: VecDeque<RunId>,
    /// Unknown runs bound at or before this position never start.
    floor: Position,
    lease: Lease,
    lost: bool,
}

impl RunTable {
    /// Starts an empty table for a worker of `capacity` that remembers `limit` runs.
    pub fn new(capacity: Resources, limit: usize) -> Self {
        Self {
            capacity,
            limit,
            entries: BTreeMap::new(),
            closed: VecDeque::new(),
            floor: Position::default(),
            lease: Lease::default(),
            lost: false,
        }
    }

    /// Binds `run`, whose binding stands at `bound` in the log, and sets `demand` aside for it.
    /// A refused run is tombstoned. A run that is bound while the lease has lapsed starts paused.
    pub fn bind(&mut self, run: RunId, bound: Position, demand: Resources) -> RunBindOutcome {
        if let Some(entry) = self.entries.get(&run) {
            return RunBindOutcome::Known(entry.state);
        }
        let (state, reply) = match self.refusal(bound, demand) {
            None => (RunState::Starting, RunBindOutcome::New),
            Some(refusal) => (RunState::Tombstoned, RunBindOutcome::Refused(refusal)),
        };
        self.insert(run, state, demand, Some(bound));
        reply
    }

    fn refusal(&mut self, bound: Position, demand: Resources) -> Option<RunRefusal> {
        // A run that was forgotten may have run and be on record; nothing else may be said of it.
        if bound <= self.floor {
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

    /// The worker has started the run.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run is not starting, for instance because a stop crossed it.
    pub fn start(&mut self, run: RunId) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::Start)
    }

    /// The run provably never started on the worker.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run is not starting.
    pub fn refuse(&mut self, run: RunId) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::Refuse)
    }

    /// Tombstones an unknown run without room or position of its own.
    pub fn tombstone(&mut self, run: RunId) {
        if !self.entries.contains_key(&run) {
            self.insert(run, RunState::Tombstoned, Resources::ZERO, None);
        }
    }

    /// Takes `step` against the run. An unknown run is tombstoned, whatever the step, since the
    /// answer tells that it will never start.
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

    /// The run has ended.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run is not active.
    pub fn end(&mut self, run: RunId, end: super::RunEnd) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::End(end))
    }

    /// An entry has recorded the end of the run.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the run has not ended or is recorded already.
    pub fn acknowledge(&mut self, run: RunId) -> Result<(), RunTransitionError> {
        self.apply(run, RunEvent::Acknowledge)
    }

    /// Renews the lease; see [`Lease::renew`]. A lost incarnation renews nothing.
    pub fn renew(&mut self, sent: Moment, length: Duration) {
        if !self.lost {
            self.lease.renew(sent, length);
        }
    }

    /// The incarnation was recorded as lost: nothing starts or is renewed any more. Returns the
    /// runs that the worker has to stop.
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

    /// The lease.
    pub const fn lease(&self) -> Lease {
        self.lease
    }

    /// State of a run, if it is known.
    pub fn state(&self, run: RunId) -> Option<RunState> {
        self.entries.get(&run).map(|entry| entry.state)
    }

    /// Runs that the worker may be executing.
    pub fn active(&self) -> Vec<RunId> {
        let entries = self.entries.iter();
        entries
            .filter(|(_, entry)| entry.state.is_active())
            .map(|(run, _)| *run)
            .collect()
    }

    /// Runs that have ended and whose end is not recorded yet.
    pub fn unreported(&self) -> usize {
        let entries = self.entries.values();
        entries
            .filter(|entry| matches!(entry.state, RunState::Ended(_)))
            .count()
    }

    /// Room held.
    pub fn held(&self) -> Resources {
        let entries = self.entries.values();
        entries
            .filter(|entry| entry.state.holds_resources())
            .fold(Resources::ZERO, |sum, entry| sum + entry.demand)
    }

    fn insert(&mut self, run: RunId, state: RunState, demand: Resources, bound: Option<Position>) {
        let entry = Entry {
            state,
            demand,
            bound,
        };
        self.entries.insert(run, entry);
        self.note_closed(run);
    }

    fn apply(&mut self, run: RunId, event: RunEvent) -> Result<(), RunTransitionError> {
        let Some(entry) = self.entries.get_mut(&run) else {
            return Err(RunTransitionError);
        };
        entry.state = entry.state.next(event)?;
        self.note_closed(run);
        Ok(())
    }

    /// Marks a run as one that may be forgotten once nothing can happen to it any more.
    fn note_closed(&mut self, run: RunId) {
        let Some(entry) = self.entries.get(&run) else {
            return;
        };
        let closed = matches!(entry.state, RunState::Tombstoned | RunState::Acknowledged);
        // Without the position of its binding, a run can't be told from one that is yet to come.
        if closed && entry.bound.is_some() {
            self.closed.push_back(run);
        }
    }

    /// Forgets the oldest closed runs of a full table and raises the floor past their bindings.
    fn forget_closed(&mut self) {
        while self.entries.len() >= self.limit {
            let Some(run) = self.closed.pop_front() else {
                return;
            };
            let entry = self.entries.remove(&run);
            if let Some(bound) = entry.and_then(|entry| entry.bound) {
                self.floor = self.floor.max(bound);
            }
        }
    }
}

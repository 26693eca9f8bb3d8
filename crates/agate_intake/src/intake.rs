//! One table for all listeners of a process.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Moment;
use strum::IntoEnumIterator as _;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::{Admission, Cause, ConnectionKey, Limits, Table, Ticket};

/// Interval at which time limits are checked.
const CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Most time that counts between two checks. A process that was paused has not read what its clients
/// sent meanwhile, so the pause must not count against them.
const MAX_STEP: Duration = Duration::from_secs(2);

/// What the connections hold, and what was closed since the last census.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Census {
    /// Number of connections.
    pub connections: usize,
    /// Bytes of unfinished requests and responses.
    pub held: usize,
    /// Number of connections that were closed or refused, by cause. Causes without any are left out.
    pub closed: Vec<(Cause, u64)>,
}

/// Admits connections and what they hold. Clones share the same limits.
#[derive(Debug, Clone)]
pub struct Intake(Arc<Mutex<State>>);

#[derive(Debug)]
struct State {
    table: Table,
    tokens: HashMap<ConnectionKey, CancellationToken>,
    closed: HashMap<Cause, u64>,
    /// Time that counts up to the last check.
    counted: Moment,
    checked: Instant,
}

impl Default for Intake {
    fn default() -> Self {
        Self::new(Limits::default())
    }
}

impl Intake {
    /// Creates an intake without connections.
    pub fn new(limits: Limits) -> Self {
        Self(Arc::new(Mutex::new(State {
            table: Table::new(limits),
            tokens: HashMap::new(),
            closed: HashMap::new(),
            counted: Moment::ZERO,
            checked: Instant::now(),
        })))
    }

    /// Returns the limits.
    pub fn limits(&self) -> Limits {
        self.state().table.limits()
    }

    /// Admits a new connection, or returns `None` if it has to be refused.
    pub fn open(&self) -> Option<Ticket> {
        let mut state = self.state();
        let now = state.now();
        let (key, displaced) = match state.table.open(now) {
            Admission::Admitted(key, displaced) => (key, displaced),
            Admission::Refused => {
                state.count(Cause::Refused);
                return None;
            }
        };
        if let Some(displaced) = displaced {
            state.end(displaced, Cause::Displaced);
        }
        let closed = CancellationToken::new();
        state.tokens.insert(key, closed.clone());
        Some(Ticket::new(self.clone(), key, closed))
    }

    /// Closes the connections that have used up a time limit, and returns what is left and what was
    /// closed since the last call.
    pub fn check(&self) -> Census {
        let mut state = self.state();
        state.counted = state.now();
        state.checked = Instant::now();
        let now = state.counted;
        for (key, cause) in state.table.close_late(now) {
            state.end(key, cause);
        }
        let closed = std::mem::take(&mut state.closed);
        Census {
            connections: state.table.len(),
            held: state.table.held(),
            closed: Cause::iter()
                .filter_map(|cause| Some((cause, *closed.get(&cause)?)))
                .collect(),
        }
    }

    /// Checks at regular intervals, and passes each census to `report`.
    pub async fn run(self, mut report: impl FnMut(&Census)) {
        let mut ticks = interval(CHECK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            report(&self.check());
        }
    }

    /// Changes a connection and closes what has to be closed because of it. Returns whether the
    /// connection itself is still open.
    pub(crate) fn update(
        &self,
        key: ConnectionKey,
        change: impl FnOnce(&mut Table, Moment),
    ) -> bool {
        let mut state = self.state();
        let now = state.now();
        change(&mut state.table, now);
        while let Some(key) = state.table.close_for_memory(now) {
            state.end(key, Cause::Memory);
        }
        state.table.phase(key).is_some()
    }

    pub(crate) fn unfinished(&self, key: ConnectionKey) -> Option<u64> {
        self.state().table.unfinished(key)
    }

    pub(crate) fn close(&self, key: ConnectionKey) {
        let mut state = self.state();
        state.table.close(key);
        state.tokens.remove(&key);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn now(&self) -> Moment {
        self.counted + self.checked.elapsed().min(MAX_STEP)
    }

    fn count(&mut self, cause: Cause) {
        *self.closed.entry(cause).or_default() += 1;
    }

    /// Tells the task of a connection that left the table to close it.
    fn end(&mut self, key: ConnectionKey, cause: Cause) {
        if let Some(token) = self.tokens.remove(&key) {
            token.cancel();
        }
        self.count(cause);
    }
}

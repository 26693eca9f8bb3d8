//! State shared by all connections.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::clock::wall_millis;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::{BackendRecord, Config, Fault, Run};

/// Requests, connections and the active fault.
#[derive(Debug)]
pub(crate) struct State {
    config: Config,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    ran: BackendRecord,
    fault: Fault,
    running: u32,
    connections: u32,
    rng: SmallRng,
}

/// A request that got a slot.
#[derive(Debug)]
pub(crate) struct Started {
    pub(crate) index: usize,
    pub(crate) service_time: Duration,
    pub(crate) fault: Fault,
}

/// Error when every slot or connection is taken.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Overloaded;

impl State {
    pub(crate) fn new(config: Config) -> Self {
        let inner = Inner {
            ran: BackendRecord::default(),
            fault: Fault::None,
            running: 0,
            connections: 0,
            rng: SmallRng::seed_from_u64(config.seed),
        };
        Self {
            config,
            inner: Mutex::new(inner),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Counts a connection at its first work request.
    pub(crate) fn open_connection(&self) -> Result<(), Overloaded> {
        let mut inner = self.lock();
        if inner.connections >= self.config.connections {
            inner.ran.refused += 1;
            return Err(Overloaded);
        }
        inner.connections += 1;
        inner.ran.peak_connections = inner.ran.peak_connections.max(inner.connections);
        Ok(())
    }

    pub(crate) fn close_connection(&self) {
        self.lock().connections -= 1;
    }

    /// Takes a slot for `run` and records its start.
    pub(crate) fn start(&self, run: Run) -> Result<Started, Overloaded> {
        let mut inner = self.lock();
        if inner.running >= self.config.slots {
            inner.ran.refused += 1;
            return Err(Overloaded);
        }
        inner.running += 1;
        inner.ran.peak_slots = inner.ran.peak_slots.max(inner.running);
        inner.ran.runs.push(run);
        let base = self.config.service.draw(&mut inner.rng);
        let service_time = match inner.fault {
            Fault::Slow { percent } => base * percent / 100,
            _ => base,
        };
        Ok(Started {
            index: inner.ran.runs.len() - 1,
            service_time,
            fault: inner.fault,
        })
    }

    /// Records the end of a run and frees its slot.
    pub(crate) fn end(&self, index: usize) {
        let mut inner = self.lock();
        inner.running -= 1;
        inner.ran.runs[index].end_ms = Some(wall_millis());
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    pub(crate) fn ran(&self) -> BackendRecord {
        self.lock().ran.clone()
    }
}

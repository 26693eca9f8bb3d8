//! State shared by the handlers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{Moment, Offset};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::{Faults, Limits, Log, Page};

/// What the handlers share.
#[derive(Debug)]
pub(crate) struct Shared {
    started: Instant,
    log: Mutex<Log>,
    faults: Mutex<Faults>,
    rng: Mutex<SmallRng>,
    /// Counts appends and changes of faults, to wake waiting readers.
    changes: watch::Sender<u64>,
    /// Whether the server is closing.
    closing: watch::Sender<bool>,
}

/// One read as asked for.
#[derive(Debug, Clone)]
pub(crate) struct ReadQuery {
    pub(crate) stream: String,
    pub(crate) from: Offset,
    pub(crate) max_bytes: usize,
    pub(crate) wait: Duration,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Shared {
    pub(crate) fn new(limits: Limits, seed: u64) -> Self {
        Self {
            started: Instant::now(),
            log: Mutex::new(Log::new(limits)),
            faults: Mutex::new(Faults::default()),
            rng: Mutex::new(SmallRng::seed_from_u64(seed)),
            changes: watch::Sender::new(0),
            closing: watch::Sender::new(false),
        }
    }

    pub(crate) fn log(&self) -> MutexGuard<'_, Log> {
        lock(&self.log)
    }

    pub(crate) fn now(&self) -> Moment {
        Moment::ZERO + self.started.elapsed()
    }

    pub(crate) fn faults(&self) -> Faults {
        *lock(&self.faults)
    }

    pub(crate) fn set_faults(&self, faults: Faults) {
        *lock(&self.faults) = faults;
        self.announce();
    }

    pub(crate) fn loses_answer(&self) -> bool {
        self.faults().loses_answer(&mut *lock(&self.rng))
    }

    /// Wakes waiting readers.
    pub(crate) fn announce(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Ends every wait, so that the server can close.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
        self.announce();
    }

    /// Reads, and waits for an append if nothing is there yet.
    pub(crate) async fn read(&self, query: &ReadQuery) -> Page {
        let deadline = Instant::now() + query.wait;
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let page = self
                .log()
                .read(&query.stream, query.from, query.max_bytes, self.now());
            let ended = !page.entries.is_empty() || *self.closing.borrow() || self.faults().outage;
            if ended || timeout_at(deadline, changes.changed()).await.is_err() {
                return page;
            }
        }
    }
}

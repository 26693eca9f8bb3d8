//! State shared by the request handlers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{Moment, Offset};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::watch;
use tokio::time::{Instant, timeout_at};

use crate::{Faults, Limits, Log, Page};

/// Log, faults and wake-up channels of one server.
#[derive(Debug)]
pub(crate) struct Shared {
    started: Instant,
    log: Mutex<Log>,
    faults: Mutex<Faults>,
    rng: Mutex<SmallRng>,
    /// Counts appends and fault changes, to wake long-polling reads.
    changes: watch::Sender<u64>,
    closing: watch::Sender<bool>,
}

/// Parameters of a read.
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
        self.notify_readers();
    }

    pub(crate) fn loses_answer(&self) -> bool {
        self.faults().loses_answer(&mut *lock(&self.rng))
    }

    /// Wakes long-polling reads.
    pub(crate) fn notify_readers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Ends long-polling reads, so that the server can close.
    pub(crate) fn close(&self) {
        self.closing.send_replace(true);
        self.notify_readers();
    }

    /// Reads, and waits for an append if there is nothing to return yet.
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

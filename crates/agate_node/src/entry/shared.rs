//! What the tasks of an entry share.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Moment;
use agate_jobs::book::Change;
use agate_jobs::plan::Heard;
use agate_jobs::{Book, JobState, RouteTable};
use tokio::sync::{Notify, watch};

use super::EntryContext;
use super::stretch::Stretch;
use crate::appender::Appender;

/// State of an entry.
#[derive(Debug)]
pub struct Entry {
    pub(super) context: EntryContext,
    pub(super) appender: Appender,
    pub(super) routes: watch::Sender<Arc<RouteTable>>,
    /// Offset up to which the main lane is folded.
    pub(super) folded: watch::Sender<u64>,
    /// Told when changes wait for the scheduler.
    pub(super) news: Notify,
    was_ready: AtomicBool,
    view: Mutex<View>,
}

/// The folded main lane.
#[derive(Debug, Default)]
pub(super) struct View {
    pub book: Book,
    /// Whether the main lane has been read to its end once.
    pub synced: bool,
    pub reading: Stretch,
    /// When agents were last heard of.
    pub heard: Heard,
    /// When the newest sign of life of a scheduling entry was read.
    pub leader_seen: Moment,
    /// Whether this entry schedules, so that changes are kept for the scheduler.
    pub leads: bool,
    pub changes: Vec<Change>,
}

impl Entry {
    pub(super) fn new(context: EntryContext, appender: Appender) -> Self {
        Self {
            context,
            appender,
            routes: watch::Sender::new(Arc::default()),
            folded: watch::Sender::new(0),
            news: Notify::new(),
            was_ready: AtomicBool::new(false),
            view: Mutex::default(),
        }
    }

    pub(super) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the entry knows the queues and the jobs, so that it can answer callers.
    pub fn is_ready(&self) -> bool {
        let config = self.routes.borrow().version;
        let ready = self.reads() && config > 0;
        if self.was_ready.swap(ready, Ordering::Relaxed) != ready {
            let now = crate::clock::now();
            let silent = now.since(self.view().reading.last());
            log::info!(
                event = "ready_changed", ready = ready, config = config,
                offset = *self.folded.borrow(), read_ms = crate::clock::millis(silent); ""
            );
        }
        ready
    }

    /// Whether the main lane has been loaded and is read without a gap. While it is not, appends
    /// are not tried either: the caller is refused at once.
    pub(super) fn reads(&self) -> bool {
        let now = crate::clock::now();
        let view = self.view();
        view.synced && view.reading.since(now) < now
    }

    /// The queues in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(&self.routes.borrow())
    }

    /// Counters and histograms.
    pub fn metrics(&self) -> &crate::metrics::Metrics {
        &self.context.metrics
    }

    /// State of a job of a queue as far as this entry has read.
    pub(super) fn state(&self, queue: &str, job: agate_core::JobId) -> Option<JobState> {
        let view = self.view();
        let known = view.book.queue(job) == Some(queue);
        known.then(|| view.book.state(job)).flatten()
    }

    /// Reads the main lane up to its current end.
    ///
    /// Returns whether that came about within `patience`.
    pub(super) async fn catch_up(&self, patience: Duration) -> bool {
        let caught_up = async {
            let from = *self.folded.borrow();
            let lane = crate::store::Stream::Main;
            let read = self.context.log.read(lane, from, Duration::ZERO).await;
            let end = match read {
                Ok(page) => page.end,
                Err(error) => {
                    log::warn!(event = "catch_up_failed", from = from, cause:% = error; "");
                    return false;
                }
            };
            let mut folded = self.folded.subscribe();
            folded.wait_for(|at| *at >= end).await.is_ok()
        };
        tokio::time::timeout(patience, caught_up)
            .await
            .unwrap_or(false)
    }
}

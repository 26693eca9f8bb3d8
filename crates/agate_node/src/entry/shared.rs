//! State shared by the tasks of an entry.

use std::collections::BTreeSet;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Moment;
use agate_jobs::plan::{LastContact, SuspicionTimes};
use agate_jobs::table::Change;
use agate_jobs::{JobState, JobTable, RouteTable};
use tokio::sync::{Notify, watch};

use super::EntryContext;
use super::continuity::ReadContinuity;
use super::zones::EntryZones;
use crate::appender::Appender;
use crate::skipped::SkippedRecords;
use crate::store::Stream;

/// An entry.
#[derive(Debug)]
pub struct Entry {
    pub(super) context: EntryContext,
    pub(super) appender: Appender,
    pub(super) routes: watch::Sender<Arc<RouteTable>>,
    /// Offset up to which the configuration stream has been read; zero before the first load.
    pub(super) config_end: AtomicU64,
    /// When the newest read of the configuration stream for callers began that reached its end. Locked
    /// during such a read, so that callers who arrive together share one.
    pub(super) config_read_at: tokio::sync::Mutex<Option<tokio::time::Instant>>,
    /// When the newest read of the main stream's end for callers began, and the end unless it failed. Locked
    /// during such a read, so that callers who arrive together share one.
    main_end: tokio::sync::Mutex<Option<(tokio::time::Instant, Option<u64>)>>,
    /// The withdrawn zones; `None` if the deployment has no withdrawal of zones.
    pub(super) zones: Option<EntryZones>,
    pub(super) skipped: SkippedRecords,
    /// Offset up to which the main stream is folded.
    pub(super) folded: watch::Sender<u64>,
    /// Notified when changes are pending for the scheduler.
    pub(super) changed: Notify,
    was_ready: AtomicBool,
    view: Mutex<View>,
}

/// State folded from the main stream.
#[derive(Debug, Default)]
pub(super) struct View {
    pub job_table: JobTable,
    /// Whether the main stream has been read to its end once.
    pub synced: bool,
    pub reading: ReadContinuity,
    /// Order streams of the workers whose newest report could not be read when the main stream was loaded.
    pub unread_streams: BTreeSet<Stream>,
    /// When each agent last reported.
    pub last_contact: LastContact,
    /// When each open suspicion was first read in a heartbeat.
    pub suspicion_times: SuspicionTimes,
    /// When the newest heartbeat of a leader was read.
    pub leader_seen_at: Moment,
    /// Whether this entry is taking over the leadership.
    pub takes_over: bool,
    /// Whether this entry leads, so that changes are kept for the scheduler.
    pub is_leader: bool,
    pub pending_changes: Vec<Change>,
}

impl Entry {
    pub(super) fn new(context: EntryContext, appender: Appender) -> Self {
        Self {
            zones: context.parse_zone.map(EntryZones::new),
            context,
            appender,
            routes: watch::Sender::new(Arc::default()),
            config_end: AtomicU64::new(0),
            config_read_at: tokio::sync::Mutex::default(),
            main_end: tokio::sync::Mutex::default(),
            skipped: SkippedRecords::default(),
            folded: watch::Sender::new(0),
            changed: Notify::new(),
            was_ready: AtomicBool::new(false),
            view: Mutex::default(),
        }
    }

    pub(super) fn view(&self) -> MutexGuard<'_, View> {
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether the entry has a configuration and a current view of the jobs, so that it can
    /// answer callers.
    pub fn is_ready(&self) -> bool {
        let config = self.routes.borrow().version;
        let ready = self.is_following() && config > 0;
        if self.was_ready.swap(ready, Ordering::Relaxed) != ready {
            let now = crate::clock::now();
            let silent = now.since(self.view().reading.last_end());
            log::info!(
                event = "ready_changed", ready = ready, config = config,
                offset = *self.folded.borrow(), read_ms = crate::clock::millis(silent); ""
            );
        }
        ready
    }

    /// Returns whether the main stream has been loaded and is read without a gap. Otherwise callers
    /// are refused at once, without trying to append.
    pub(super) fn is_following(&self) -> bool {
        let now = crate::clock::now();
        let view = self.view();
        view.synced && view.reading.unbroken_since(now) < now
    }

    /// Returns whether the main stream has been read to its end once. Until then nothing is known of
    /// any job.
    pub(super) fn has_loaded(&self) -> bool {
        self.view().synced
    }

    /// Returns whether submissions are recorded. They are before the main stream has been loaded,
    /// since the first submission of a job counts wherever it is recorded.
    pub(super) fn accepts_submissions(&self) -> bool {
        !self.has_loaded() || self.is_following()
    }

    /// Returns the routes in force.
    pub fn routes(&self) -> Arc<RouteTable> {
        Arc::clone(&self.routes.borrow())
    }

    /// Returns the counters and histograms.
    pub fn metrics(&self) -> &crate::metrics::Metrics {
        &self.context.metrics
    }

    /// Returns the state of a job of `queue` as far as this entry has read.
    pub(super) fn state(&self, queue: &str, job: agate_core::JobId) -> Option<JobState> {
        let view = self.view();
        let known = view.job_table.queue(job) == Some(queue);
        known.then(|| view.job_table.state(job)).flatten()
    }

    /// Reads the main stream up to its current end. Returns whether that succeeded within
    /// `max_wait`.
    pub(super) async fn catch_up(&self, max_wait: Duration) -> bool {
        let caught_up = async {
            let mut folded = self.folded.subscribe();
            // Reading from the start of the stream would compete with the load for the link.
            if folded.wait_for(|_| self.has_loaded()).await.is_err() {
                return false;
            }
            let Some(end) = self.read_main_end().await else {
                return false;
            };
            folded.wait_for(|at| *at >= end).await.is_ok()
        };
        tokio::time::timeout(max_wait, caught_up)
            .await
            .unwrap_or(false)
    }

    /// Returns the end of the main stream at the time of the call or later, or `None` if it can't be read.
    /// A read that another caller began after that serves for this one, too: clients that ask for many
    /// unknown jobs would take a connection to the log each.
    async fn read_main_end(&self) -> Option<u64> {
        let arrived = tokio::time::Instant::now();
        let mut newest = self.main_end.lock().await;
        if let Some((_, end)) = newest.filter(|(began, _)| *began >= arrived) {
            return end;
        }
        let began = tokio::time::Instant::now();
        let from = *self.folded.borrow();
        let stream = crate::store::Stream::Main;
        // Only the end is needed; the records arrive through the reader of the stream.
        let read = self.context.log.read_page(stream, from, Duration::ZERO, 1);
        let end = match read.await {
            Ok(page) => Some(page.end),
            Err(error) => {
                log::warn!(event = "catch_up_failed", from = from, cause:% = error; "");
                None
            }
        };
        *newest = Some((began, end));
        end
    }
}

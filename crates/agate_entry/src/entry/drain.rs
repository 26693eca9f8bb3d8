//! The way to a graceful shutdown.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Counts open requests and carries the steps of a shutdown.
#[derive(Debug, Clone)]
pub(crate) struct Drain {
    /// Cancelled when the process announces that it is leaving.
    pub(crate) leaving: CancellationToken,
    /// Cancelled when open requests must be answered at once.
    pub(crate) abort: CancellationToken,
    tracker: TaskTracker,
    permits: Arc<Semaphore>,
}

/// Keeps one request counted as open.
#[derive(Debug)]
pub(crate) struct Open {
    _permit: OwnedSemaphorePermit,
    _token: TaskTrackerToken,
}

impl Drain {
    /// Starts with nothing open and room for `inflight` requests.
    pub(crate) fn new(inflight: usize) -> Self {
        Self {
            leaving: CancellationToken::new(),
            abort: CancellationToken::new(),
            tracker: TaskTracker::new(),
            permits: Arc::new(Semaphore::new(inflight)),
        }
    }

    /// Counts one more request as open; `None` if as many as allowed are.
    pub(crate) fn open(&self) -> Option<Open> {
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok()?;
        Some(Open {
            _permit: permit,
            _token: self.tracker.token(),
        })
    }

    /// Requests open now.
    pub(crate) fn count(&self) -> usize {
        self.tracker.len()
    }

    /// Waits until no request is open.
    pub(crate) async fn empty(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}

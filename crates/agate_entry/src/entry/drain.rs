//! Graceful shutdown.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tokio_util::task::task_tracker::TaskTrackerToken;

/// Tracks open requests and the stages of a shutdown.
#[derive(Debug, Clone)]
pub(crate) struct Drain {
    /// Cancelled when the process announces its shutdown.
    pub(crate) leaving: CancellationToken,
    /// Cancelled when open requests must be answered at once.
    pub(crate) abort: CancellationToken,
    tracker: TaskTracker,
    permits: Arc<Semaphore>,
}

/// Guard that counts one request as open.
#[derive(Debug)]
pub(crate) struct OpenRequest {
    _permit: OwnedSemaphorePermit,
    _token: TaskTrackerToken,
}

impl Drain {
    /// Creates a tracker for up to `inflight` open requests.
    pub(crate) fn new(inflight: usize) -> Self {
        Self {
            leaving: CancellationToken::new(),
            abort: CancellationToken::new(),
            tracker: TaskTracker::new(),
            permits: Arc::new(Semaphore::new(inflight)),
        }
    }

    /// Counts one more request as open. Returns `None` at the limit.
    pub(crate) fn open(&self) -> Option<OpenRequest> {
        let permit = Arc::clone(&self.permits).try_acquire_owned().ok()?;
        Some(OpenRequest {
            _permit: permit,
            _token: self.tracker.token(),
        })
    }

    /// Returns the number of open requests.
    pub(crate) fn count(&self) -> usize {
        self.tracker.len()
    }

    /// Waits until no request is open.
    pub(crate) async fn wait_idle(&self) {
        self.tracker.close();
        self.tracker.wait().await;
    }
}

//! Request deadlines that end early on shutdown.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// A deadline that a shutdown can end early.
#[derive(Debug, Clone)]
pub(crate) struct Deadline {
    expires_at: Instant,
    abort: CancellationToken,
}

/// The deadline has passed, or a shutdown has ended it early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct DeadlineExceeded;

impl Deadline {
    /// Creates a deadline `budget` from now; cancelling `abort` ends it early.
    pub(crate) fn after(budget: Duration, abort: CancellationToken) -> Self {
        Self {
            expires_at: Instant::now() + budget,
            abort,
        }
    }

    /// Returns the remaining time, or zero once the deadline has passed.
    pub(crate) fn remaining(&self) -> Duration {
        if self.abort.is_cancelled() {
            return Duration::ZERO;
        }
        self.expires_at.saturating_duration_since(Instant::now())
    }

    /// Runs `work` until the deadline.
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineExceeded`] and drops `work` if the deadline passes first.
    pub(crate) async fn run<T>(
        &self,
        work: impl Future<Output = T>,
    ) -> Result<T, DeadlineExceeded> {
        tokio::select! {
            biased;
            () = self.abort.cancelled() => Err(DeadlineExceeded),
            result = timeout_at(self.expires_at, work) => result.map_err(|_elapsed| DeadlineExceeded),
        }
    }

    /// Sleeps for `pause`.
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineExceeded`] without sleeping if no more than `pause` remains.
    pub(crate) async fn sleep(&self, pause: Duration) -> Result<(), DeadlineExceeded> {
        if self.remaining() <= pause {
            return Err(DeadlineExceeded);
        }
        self.run(tokio::time::sleep(pause)).await
    }
}

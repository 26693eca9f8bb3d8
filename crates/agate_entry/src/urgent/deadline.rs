//! The time by which an answer must be with the caller.

use std::time::Duration;

use tokio::time::{Instant, timeout_at};
use tokio_util::sync::CancellationToken;

/// A deadline that a shutdown can bring forward.
#[derive(Debug, Clone)]
pub(crate) struct Deadline {
    until: Instant,
    abort: CancellationToken,
}

/// The deadline has passed, or a shutdown has brought it forward.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Passed;

impl Deadline {
    /// A deadline `budget` from now; cancelling `abort` brings it forward.
    pub(crate) fn after(budget: Duration, abort: CancellationToken) -> Self {
        Self {
            until: Instant::now() + budget,
            abort,
        }
    }

    /// Time left; zero if it has passed.
    pub(crate) fn left(&self) -> Duration {
        if self.abort.is_cancelled() {
            return Duration::ZERO;
        }
        self.until.saturating_duration_since(Instant::now())
    }

    /// Runs `work` for as long as time is left.
    ///
    /// # Errors
    ///
    /// Returns [`Passed`] if time ran out first; `work` is dropped then.
    pub(crate) async fn run<T>(&self, work: impl Future<Output = T>) -> Result<T, Passed> {
        tokio::select! {
            biased;
            () = self.abort.cancelled() => Err(Passed),
            result = timeout_at(self.until, work) => result.map_err(|_elapsed| Passed),
        }
    }

    /// Sleeps for `pause`.
    ///
    /// # Errors
    ///
    /// Returns [`Passed`] at once if less time than that is left.
    pub(crate) async fn pause(&self, pause: Duration) -> Result<(), Passed> {
        if self.left() <= pause {
            return Err(Passed);
        }
        self.run(tokio::time::sleep(pause)).await
    }
}

//! How many bytes a reader of the log requests at once.
//!
//! Readers that share a slow link time out together if each requests a large page, and then request the
//! same records again. The size therefore halves with each timeout and grows by a step with each page that
//! arrives quickly.

use std::time::Duration;

/// Size of the first page: 0.2 s on a link of 10 Mbit/s.
const START_BYTES: usize = 256 * 1_024;

/// Smallest size; a call costs more than the transfer of fewer bytes.
const MIN_BYTES: usize = 32 * 1_024;

/// Growth with each full page that arrives quickly.
const STEP_BYTES: usize = 64 * 1_024;

/// Longest duration of a page after which the next one may be larger. Other calls on the same link wait
/// for that long.
const QUICK: Duration = Duration::from_millis(200);

/// Result of a read, as far as the size of the next page depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PageResult {
    /// All records up to the end of the stream arrived.
    Last,
    /// More records follow. The page took this long.
    Full(Duration),
    /// The page did not arrive in time.
    TimedOut,
}

/// Size of the next page.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PageSize(usize);

impl Default for PageSize {
    fn default() -> Self {
        Self(START_BYTES)
    }
}

impl PageSize {
    /// Largest size.
    pub const MAX_BYTES: usize = 1_024 * 1_024;

    /// Returns the size in bytes.
    pub const fn bytes(self) -> usize {
        self.0
    }

    /// Adapts the size to the result of a read.
    pub fn record(&mut self, result: PageResult) {
        self.0 = match result {
            PageResult::TimedOut => (self.0 / 2).max(MIN_BYTES),
            PageResult::Full(took) if took <= QUICK => (self.0 + STEP_BYTES).min(Self::MAX_BYTES),
            PageResult::Full(_) | PageResult::Last => self.0,
        };
    }
}

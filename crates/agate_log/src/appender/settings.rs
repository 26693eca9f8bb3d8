//! Settings of grouped appends.

use std::time::Duration;

/// Grouping, buffering and retries of appends.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct AppendSettings {
    /// Time that the first record of a group waits for others.
    #[builder(default = Duration::from_millis(3))]
    pub linger: Duration,
    /// Maximum size of the records in one append.
    #[builder(default = 256 * 1024)]
    pub batch_bytes: usize,
    /// Maximum total size of pending records.
    #[builder(default = 4 * 1024 * 1024)]
    pub buffer_bytes: usize,
    /// Time limit for writing records, counted from when they were queued.
    #[builder(default = Duration::from_secs(5))]
    pub timeout: Duration,
    /// Delay after the first failed call.
    #[builder(default = Duration::from_millis(20))]
    pub initial_backoff: Duration,
    /// Maximum delay after a failed call.
    #[builder(default = Duration::from_secs(1))]
    pub max_backoff: Duration,
    /// Time after which a caller may retry records that were not recorded.
    #[builder(default = Duration::from_secs(1))]
    pub retry_after: Duration,
}

impl Default for AppendSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

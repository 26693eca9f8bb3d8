//! Settings of grouped appends.

use std::time::Duration;

/// How records are grouped, and for how long an append is tried.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct AppendSettings {
    /// Time for which the first record of a group waits for others.
    #[builder(default = Duration::from_millis(3))]
    pub linger: Duration,
    /// Most bytes of records in one append.
    #[builder(default = 256 * 1024)]
    pub batch_bytes: usize,
    /// Most bytes of records that wait.
    #[builder(default = 4 * 1024 * 1024)]
    pub buffer_bytes: usize,
    /// Time after which records are given up, from when they were queued.
    #[builder(default = Duration::from_secs(5))]
    pub give_up: Duration,
    /// The first pause after a failed call.
    #[builder(default = Duration::from_millis(20))]
    pub first_pause: Duration,
    /// The longest pause after a failed call.
    #[builder(default = Duration::from_secs(1))]
    pub longest_pause: Duration,
    /// When to come back after a refusal.
    #[builder(default = Duration::from_secs(1))]
    pub retry_after: Duration,
}

impl Default for AppendSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

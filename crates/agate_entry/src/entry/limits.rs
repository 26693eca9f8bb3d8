//! Resource limits and timeouts of an entry.

use std::time::Duration;

use bon::Builder;

/// Resource limits and timeouts of an entry.
#[derive(Debug, Clone, Copy, Builder)]
pub struct Limits {
    /// Largest request body.
    #[builder(default = agate_wire::MAX_BODY_BYTES)]
    pub max_body_bytes: usize,
    /// Maximum number of connections from agents and other entries.
    #[builder(default = 4_096)]
    pub max_connections: u32,
    /// Maximum number of open requests from callers.
    #[builder(default = 1_024)]
    pub max_inflight: usize,
    /// Most bytes that the bodies of all open requests may take together.
    #[builder(default = 64 << 20)]
    pub max_unfinished: usize,
    /// Time limit of a graceful shutdown.
    #[builder(default = Duration::from_secs(30))]
    pub drain_timeout: Duration,
    /// Delay between announcing a shutdown and closing the listeners.
    #[builder(default = Duration::from_secs(2))]
    pub leave_delay: Duration,
    /// Time for which records wait to share an append.
    #[builder(default = Duration::from_millis(5))]
    pub append_linger: Duration,
    /// Mean interval between checks for a due snapshot.
    #[builder(default = Duration::from_mins(5))]
    pub snapshot_interval: Duration,
}

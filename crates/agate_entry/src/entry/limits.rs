//! Bounds on what one entry takes on.

use std::time::Duration;

use bon::Builder;

/// Bounds on what one entry takes on.
#[derive(Debug, Clone, Copy, Builder)]
pub struct Limits {
    /// Largest body of a request in bytes.
    #[builder(default = agate_wire::MAX_BODY_BYTES)]
    pub max_body_bytes: usize,
    /// Connections of agents and other entries.
    #[builder(default = 4_096)]
    pub max_connections: u32,
    /// Requests of callers worked on at once.
    #[builder(default = 1_024)]
    pub max_inflight: usize,
    /// Time for a graceful shutdown.
    #[builder(default = Duration::from_secs(30))]
    pub drain_timeout: Duration,
    /// Time between the announcement of a shutdown and the closing of the listeners.
    #[builder(default = Duration::from_secs(2))]
    pub leave_delay: Duration,
    /// Time for which records wait to share one append.
    #[builder(default = Duration::from_millis(5))]
    pub append_linger: Duration,
    /// Mean time between two looks at whether a snapshot is due.
    #[builder(default = Duration::from_mins(5))]
    pub snapshot_interval: Duration,
}

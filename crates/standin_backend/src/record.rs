//! The record of what really ran.

use serde::{Deserialize, Serialize};

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Class in the path.
    pub class: String,
    /// Id of the request, if it had one.
    pub request: Option<String>,
    /// Idempotency key, if it had one.
    pub key: Option<String>,
    /// The `traceparent` header, if it had one.
    pub trace: Option<String>,
    /// Digest of the body.
    pub digest: String,
    /// Start in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End in milliseconds since the Unix epoch; none while it runs.
    pub end_ms: Option<u64>,
}

/// Everything that ran.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BackendRecord {
    /// The requests in the order in which they started.
    pub runs: Vec<Run>,
    /// The most requests that ran at once.
    pub peak_slots: u32,
    /// The most connections that carried work at once.
    pub peak_connections: u32,
    /// Requests refused because every slot or connection was taken.
    pub refused: u64,
}

//! Record of the requests that actually ran.

use serde::{Deserialize, Serialize};

/// One request that ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// Class from the path.
    pub class: String,
    /// Request id, if sent.
    pub request: Option<String>,
    /// Idempotency key, if sent.
    pub key: Option<String>,
    /// `traceparent` header, if sent.
    pub trace: Option<String>,
    /// Digest of the request body.
    pub digest: String,
    /// Start in milliseconds since the Unix epoch.
    pub start_ms: u64,
    /// End in milliseconds since the Unix epoch; `None` while running.
    pub end_ms: Option<u64>,
}

/// Every request that ran, and the peak load.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct BackendRecord {
    /// Requests in start order.
    pub runs: Vec<Run>,
    /// Peak number of concurrent requests.
    pub peak_slots: u32,
    /// Peak number of concurrent connections that carried work.
    pub peak_connections: u32,
    /// Number of requests refused because every slot or connection was taken.
    pub refused: u64,
}

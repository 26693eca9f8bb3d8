//! Faults that can be injected.

use serde::{Deserialize, Serialize};

/// Fault that applies to the requests that start while it is active.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Requests take longer.
    Slow {
        /// Service time as a percentage of the normal one.
        percent: u32,
    },
    /// Requests run, but the response carries the id of another request.
    WrongRequest,
    /// Requests run, but the response is shorter than its `Content-Length`.
    Cut,
    /// Requests run, but no response is sent and the connection stays open.
    Silence,
    /// Requests run, but the response has status 500.
    Errors,
    /// Requests run, but the connection is closed before the response.
    Close,
}

//! Faults that can be injected.

use serde::{Deserialize, Serialize};

/// What goes wrong with the requests that follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "fault", deny_unknown_fields)]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Requests take longer.
    Slow {
        /// Service time in percent of the usual.
        percent: u32,
    },
    /// Requests run, but the answer names another request.
    WrongRequest,
    /// Requests run, but the answer is shorter than its stated length.
    Cut,
    /// Requests run, but no answer is sent and the connection stays open.
    Silence,
    /// Requests run and are answered with status 500.
    Errors,
    /// Requests run, but the connection is closed before the answer.
    Close,
}

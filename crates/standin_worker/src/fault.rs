//! Faults that can be injected.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Fault of the worker that stays active until it is replaced.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// No fault.
    #[default]
    None,
    /// Every task fails as soon as it is started.
    FailEverything,
    /// No request is answered, except for the record and faults; tasks run until their leases
    /// expire.
    Silence,
    /// The worker has restarted: it knows none of the tasks that it had been given. Later ones run.
    Restarted,
    /// The next checkpoint request switches the worker to [`Fault::Silence`] and never completes.
    VanishInCheckpoint,
}

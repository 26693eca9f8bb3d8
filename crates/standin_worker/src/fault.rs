//! Faults that can be injected.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// What goes wrong from now on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case", tag = "fault")]
pub enum Fault {
    /// Nothing.
    #[default]
    None,
    /// Every task fails as soon as it has started.
    FailEverything,
    /// No call is answered; tasks go on for as long as their leases last.
    Silence,
    /// The next checkpoint is never finished, and from then on no call is answered.
    VanishInCheckpoint,
}

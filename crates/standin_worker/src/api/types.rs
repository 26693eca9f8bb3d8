//! Request and response types.

use agate_core::{Resources, RunId};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Amount of each resource.
#[derive(Debug, Clone, Copy, Serialize, Deserialize, JsonSchema)]
pub(super) struct Amount {
    pub(super) millicores: u32,
    pub(super) memory_mib: u32,
    #[serde(default)]
    pub(super) accelerators: u32,
}

impl From<Amount> for Resources {
    fn from(amount: Amount) -> Self {
        Self::new(amount.millicores, amount.memory_mib, amount.accelerators)
    }
}

impl From<Resources> for Amount {
    fn from(resources: Resources) -> Self {
        Self {
            millicores: resources.millicores,
            memory_mib: resources.memory_mib,
            accelerators: resources.accelerators,
        }
    }
}

/// Request to start a task.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct StartBody {
    #[schemars(with = "String")]
    pub(super) run: RunId,
    pub(super) demand: Amount,
    pub(super) checkpoint: Option<String>,
    pub(super) payload: String,
    pub(super) deadline_us: u64,
}

/// Request to renew a lease.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct LeaseBody {
    pub(super) deadline_us: u64,
}

/// Path parameter with the run.
#[derive(Debug, Deserialize, JsonSchema)]
pub(super) struct RunPath {
    #[schemars(with = "String")]
    pub(super) run: RunId,
}

/// A run on this worker that has not ended.
#[derive(Debug, Serialize, JsonSchema)]
#[serde(transparent)]
pub(super) struct OpenRun(#[schemars(with = "String")] pub(super) RunId);

/// Usage of one run in a lagging sample.
#[derive(Debug, Serialize, JsonSchema)]
pub(super) struct UsageBody {
    #[schemars(with = "String")]
    pub(super) run: RunId,
    pub(super) measured_us: u64,
    pub(super) used: Amount,
}

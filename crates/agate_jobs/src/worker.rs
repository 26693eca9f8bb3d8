//! Reports of agents on their workers.

use std::fmt;

use crate::pace::{Headroom, Interference};
use crate::task::TaskKey;
use agate_core::{JobId, Resources};
use serde::{Deserialize, Serialize};

/// An incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Name of the worker. A restarted worker may keep its name.
    pub name: String,
    /// Start time reported by the worker, in milliseconds since the Unix epoch.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Number of times that the lease of this incarnation has lapsed.
    pub term: u32,
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.name, self.started_ms, self.term)
    }
}

/// Lifecycle state of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkerState {
    /// The worker accepts tasks.
    Ready,
    /// The worker accepts no new tasks and is about to leave.
    Draining,
    /// The worker has left and runs nothing.
    Gone,
    /// The worker's lease has lapsed: no run of this term is active any more.
    Lapsed,
}

/// What an agent says of itself.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Default,
    Serialize,
    Deserialize,
    strum::Display,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum AgentState {
    /// The agent executes orders.
    #[default]
    Serving,
    /// The agent is about to exit. It renews the lease and records ends, but starts nothing.
    Stopping,
    /// The agent has renewed the lease for the last time and exits.
    Stopped,
}

impl AgentState {
    /// Returns whether the agent executes orders.
    pub const fn is_serving(&self) -> bool {
        matches!(self, Self::Serving)
    }
}

/// What keeps an agent from starting runs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum StartBlock {
    /// The orders have not been read to their end recently enough.
    OrdersStale,
    /// The withdrawn zones have not been loaded since the agent started.
    ZonesNotLoaded,
    /// The withdrawn zones have not been loaded recently enough.
    ZonesStale,
}

/// A run that was ordered from an agent and has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct UnstartedRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
}

/// A report of an agent on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Lifecycle state.
    pub state: WorkerState,
    /// Service that the worker belongs to.
    pub service: String,
    /// Total resources.
    pub capacity: Resources,
    /// Labels: the worker's kind, then its rack.
    pub labels: Vec<String>,
    /// Address for calls to the worker. At any time it belongs to a single worker.
    pub address: String,
    /// Availability zone.
    pub zone: String,
    /// Number of the newest suspicion that the agent has read; this report acknowledges it.
    #[serde(rename = "answers")]
    pub acked_suspicion: u64,
    /// Utilization that the serving tasks leave to best-effort tasks, by serving image.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headroom: Vec<Headroom>,
    /// Interference of best-effort with serving tasks on this worker, by pair of images.
    #[serde(rename = "pressures", default, skip_serializing_if = "Vec::is_empty")]
    pub interference: Vec<Interference>,
    /// Time for which the worker stays slow after its start, in milliseconds.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cold_ms: u64,
    /// Whether the worker doesn't answer its agent, so that nothing can be started on it.
    #[serde(default, skip_serializing_if = "is_false")]
    pub unreachable: bool,
    /// What keeps the agent from starting anything; `None` if nothing does. What runs goes on.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub start_block: Option<StartBlock>,
    /// What the agent says of itself.
    #[serde(default, skip_serializing_if = "AgentState::is_serving")]
    pub agent: AgentState,
    /// Sequence number of the worker's heartbeat that the report is based on; zero if unknown. It
    /// increases within an incarnation, whichever agent reports.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub heartbeat: u64,
    /// Jobs that were queued when a run was bound to this worker, and whose run has started since the
    /// last recorded report.
    #[serde(rename = "begun", default, skip_serializing_if = "Vec::is_empty")]
    pub started_jobs: Vec<JobId>,
    /// Runs that the agent has not been able to start within a second of reading their orders, the oldest
    /// order first. The list is bounded.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub not_started: Vec<UnstartedRun>,
}

impl WorkerReport {
    /// Returns what is known of a worker without a report: nothing can be started there.
    pub(crate) fn unlisted(incarnation: WorkerIncarnation) -> Self {
        Self {
            incarnation,
            state: WorkerState::Draining,
            service: String::new(),
            capacity: Resources::ZERO,
            labels: Vec::new(),
            address: String::new(),
            zone: String::new(),
            acked_suspicion: 0,
            headroom: Vec::new(),
            interference: Vec::new(),
            cold_ms: 0,
            unreachable: false,
            start_block: None,
            agent: AgentState::Serving,
            heartbeat: 0,
            started_jobs: Vec::new(),
            not_started: Vec::new(),
        }
    }
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
const fn is_zero(value: &u64) -> bool {
    *value == 0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "serde passes a reference"
)]
pub(crate) const fn is_false(value: &bool) -> bool {
    !*value
}

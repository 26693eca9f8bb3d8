//! What agents report of their workers.

use std::fmt;

use crate::pace::{Headroom, Interference};
use agate_core::Resources;
use serde::{Deserialize, Serialize};

/// One incarnation of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct WorkerIncarnation {
    /// Name of the worker; a restarted worker may have the name that it had.
    pub name: String,
    /// Start of the incarnation in milliseconds since the Unix epoch, as the worker gives it.
    #[serde(rename = "born")]
    pub started_ms: u64,
    /// Number of times that this incarnation's lease has lapsed with runs bound to it.
    pub term: u32,
}

impl fmt::Display for WorkerIncarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}/{}", self.name, self.started_ms, self.term)
    }
}

/// Whether a worker takes tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum WorkerState {
    /// It takes tasks.
    Ready,
    /// It takes no new tasks and will leave.
    Draining,
    /// It has left; nothing runs on it.
    Gone,
    /// Its lease has lapsed for certain: nothing of this term runs on it.
    Lapsed,
}

/// Report of an agent on its worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct WorkerReport {
    /// The incarnation.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Whether it takes tasks.
    pub state: WorkerState,
    /// Service to which it belongs.
    pub service: String,
    /// What it can carry.
    pub capacity: Resources,
    /// Its labels: kind and rack.
    pub labels: Vec<String>,
    /// Address at which it takes calls; no two workers have the same at a time.
    pub address: String,
    /// Its availability zone.
    pub zone: String,
    /// The newest suspicion that the agent has read and answers with this report.
    #[serde(rename = "answers")]
    pub acked_suspicion: u64,
    /// Use that its serving tasks leave to tasks that fill, by image.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub headroom: Vec<Headroom>,
    /// What its tasks that fill add to the use of those that serve, by pair of images.
    #[serde(rename = "pressures", default, skip_serializing_if = "Vec::is_empty")]
    pub interference: Vec<Interference>,
}

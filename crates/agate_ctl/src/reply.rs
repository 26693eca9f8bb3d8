//! Response bodies of entries, with the fields that tables and exit codes need.

use agate_core::Finding;
use serde::Deserialize;

/// Body of an error response.
#[derive(Debug, Clone, Default, Deserialize)]
pub(crate) struct Problem {
    #[serde(default)]
    pub(crate) error: String,
    #[serde(default)]
    pub(crate) message: String,
    #[serde(default)]
    pub(crate) findings: Vec<Finding>,
    /// Name of the preset in force, if another switch came first.
    #[serde(default)]
    pub(crate) in_force: String,
}

/// Body of a response about the preset in force.
#[derive(Debug, Clone, Deserialize)]
pub(crate) struct InForce {
    pub(crate) name: Option<String>,
    pub(crate) version: String,
    pub(crate) preset: Option<serde_json::Value>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct PresetList {
    pub(crate) presets: Vec<Published>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Published {
    pub(crate) name: String,
    pub(crate) kind: String,
    pub(crate) version: String,
    pub(crate) operator: String,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct SwitchList {
    pub(crate) switches: Vec<Switch>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Switch {
    pub(crate) name: String,
    pub(crate) version: String,
    pub(crate) operator: String,
    pub(crate) wall_ms: u64,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct WithdrawalList {
    pub(crate) withdrawals: Vec<Withdrawal>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Withdrawal {
    pub(crate) selector: agate_wire::message::Selector,
    pub(crate) mode: String,
    pub(crate) version: String,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct JobList {
    pub(crate) jobs: Vec<Job>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Job {
    #[serde(rename = "job")]
    pub(crate) id: String,
    pub(crate) caller: String,
    pub(crate) class: String,
    pub(crate) phase: String,
    pub(crate) tasks: u32,
    pub(crate) running: u32,
    pub(crate) finished: u32,
    pub(crate) failed: u32,
    pub(crate) impossible: u32,
    pub(crate) cancelled: u32,
    pub(crate) failures: Vec<Failure>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Failure {
    pub(crate) index: u32,
    pub(crate) reason: String,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct MemberList {
    pub(crate) members: Vec<Member>,
    pub(crate) entries: Vec<agate_wire::message::EntryInfo>,
}

#[derive(Debug, Clone, Deserialize)]
pub(crate) struct Member {
    pub(crate) incarnation: String,
    pub(crate) host: String,
    pub(crate) address: String,
    pub(crate) region: String,
    pub(crate) zone: String,
    pub(crate) standing: String,
    pub(crate) slots: u32,
    pub(crate) load: agate_wire::message::Load,
    pub(crate) silent_ms: u64,
}

//! Membership: who is there, with what capacity and load.

use std::net::SocketAddr;

use agate_core::{ClassName, Host, Incarnation, Resources, RunId, Site, Version};
use serde::{Deserialize, Serialize};

use super::{ConfigState, RunAction};

/// What a member can carry at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Capacity {
    /// Requests that a backend server works on at once.
    pub slots: u32,
    /// Connections that a backend server accepts.
    pub connections: u32,
    /// What a worker has for batch tasks.
    pub resources: Resources,
}

/// An agent's announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// This start of the agent.
    pub incarnation: Incarnation,
    /// What the agent runs beside.
    pub host: Host,
    /// Where entries reach the agent.
    pub address: SocketAddr,
    /// Where the agent runs.
    pub site: Site,
    /// What the agent's host can carry.
    pub capacity: Capacity,
    /// Classes that the host serves; empty means every class.
    pub classes: Vec<ClassName>,
}

/// An entry as others reach it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryInfo {
    /// This start of the entry.
    pub incarnation: Incarnation,
    /// Where agents and other entries reach it, past the balancer.
    pub address: SocketAddr,
    /// Where it runs.
    pub site: Site,
}

/// First message of a process to an entry; it may come through the balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The agent, if an agent sends it.
    pub member: Option<MemberInfo>,
    /// The entry, if an entry sends it.
    pub entry: Option<EntryInfo>,
}

/// Answer to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The entry that answers.
    pub entry: EntryInfo,
    /// Other entries that it knows.
    pub peers: Vec<EntryInfo>,
    /// The newest configuration that it knows.
    pub config: Option<ConfigState>,
}

/// Load of a member, sent with every heartbeat and every answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Requests being worked on.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Smoothed service time of one request in microseconds.
    pub service_us: u64,
    /// What batch runs hold.
    pub held: Resources,
}

/// State of one run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunId,
    /// The step in force against it, if any.
    pub step: Option<RunAction>,
}

/// Lagging reading of what one run uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The run.
    pub run: RunId,
    /// The class of the run.
    pub class: ClassName,
    /// Age of the reading in milliseconds when it is sent.
    pub age_ms: u64,
    /// What the run used.
    pub used: Resources,
}

/// Lagging reading of how urgent work fares on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgentSample {
    /// The urgent class.
    pub class: ClassName,
    /// Age of the reading in milliseconds when it is sent.
    pub age_ms: u64,
    /// Measured slowdown against the class alone on an idle machine, in percent.
    pub slowdown_percent: u32,
    /// Share of the machine's slots in use when it was measured, in percent.
    pub load_percent: u32,
}

/// Regular sign of life of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The agent.
    pub incarnation: Incarnation,
    /// Number of this heartbeat; a lower one that arrives late is ignored.
    pub sequence: u64,
    /// Whether the agent is leaving and takes no new work.
    pub leaving: bool,
    /// Load at sending.
    pub load: Load,
    /// Version of the configuration that the agent holds.
    pub config: Version,
    /// Runs held.
    pub runs: Vec<RunStatus>,
    /// New usage readings.
    pub usage: Vec<UsageSample>,
    /// New readings of urgent work.
    pub urgent: Vec<UrgentSample>,
    /// Entries that the agent knows, so that entries learn of each other.
    pub entries: Vec<EntryInfo>,
}

/// What an entry thinks of the sender of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The member is known.
    Known,
    /// The member is not known; it must announce itself.
    Unknown,
    /// The member was recorded as lost: its runs belong to others, and it must stop them and
    /// start a new incarnation.
    Lost,
}

/// Answer to [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// What the entry thinks of the sender.
    pub verdict: Verdict,
    /// Lease on all of the sender's runs, in milliseconds counted from the moment the heartbeat
    /// was sent. Zero if the entry has not read the log lately.
    pub lease_ms: u64,
    /// Newer configuration than the sender's.
    pub config: Option<ConfigState>,
    /// Entries that the answering entry knows, itself included.
    pub entries: Vec<EntryInfo>,
}

//! Membership: announcements, heartbeats, capacity and load.

use std::net::SocketAddr;

use agate_core::{ClassName, Host, Incarnation, Resources, RunId, Site, Version};
use serde::{Deserialize, Serialize};

use super::{ConfigState, RunAction};

/// Capacity of a member for concurrent work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Capacity {
    /// Number of requests that a backend server processes concurrently.
    pub slots: u32,
    /// Number of connections that a backend server accepts.
    pub connections: u32,
    /// Resources of a worker for batch tasks.
    pub resources: Resources,
}

/// An agent as it announces itself to entries.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberInfo {
    /// Incarnation of the agent, new at each start.
    pub incarnation: Incarnation,
    /// The worker or backend server that the agent manages.
    pub host: Host,
    /// Address at which entries reach the agent.
    pub address: SocketAddr,
    /// Site where the agent runs.
    pub site: Site,
    /// Capacity of the agent's host.
    pub capacity: Capacity,
    /// Classes that the host serves; empty for all classes.
    pub classes: Vec<ClassName>,
}

/// Identity and address of an entry.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct EntryInfo {
    /// Incarnation of the entry, new at each start.
    pub incarnation: Incarnation,
    /// Address at which agents and other entries reach it, bypassing the load balancer.
    pub address: SocketAddr,
    /// Site where the entry runs.
    pub site: Site,
}

/// First message of a process to an entry; it may arrive through the load balancer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender, if it is an agent.
    pub member: Option<MemberInfo>,
    /// The sender, if it is an entry.
    pub entry: Option<EntryInfo>,
    /// Whether the sender, an entry, is leaving, so that others place its jobs. Earlier versions don't
    /// send it.
    #[serde(default)]
    pub leaving: bool,
}

/// Reply to [`Hello`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The entry that replies.
    pub entry: EntryInfo,
    /// Other entries known to it.
    pub peers: Vec<EntryInfo>,
    /// The newest configuration known to it.
    pub config: Option<ConfigState>,
}

/// Load of a member, sent with every heartbeat and every reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests being processed.
    pub running: u32,
    /// Number of requests waiting in the queue.
    pub queued: u32,
    /// Smoothed service time of one request in microseconds.
    pub service_us: u64,
    /// Resources held by batch runs.
    pub held: Resources,
}

/// State of one run on a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunStatus {
    /// The run.
    pub run: RunId,
    /// The action in effect on the run, if any.
    pub step: Option<RunAction>,
}

/// Delayed sample of the resources that one run uses.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageSample {
    /// The run.
    pub run: RunId,
    /// The class of the run.
    pub class: ClassName,
    /// Age of the sample in milliseconds at the time of sending.
    pub age_ms: u64,
    /// Resources that the run used.
    pub used: Resources,
}

/// Delayed sample of the slowdown of urgent work on a machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UrgentSample {
    /// The urgent class.
    pub class: ClassName,
    /// Age of the sample in milliseconds at the time of sending.
    pub age_ms: u64,
    /// Slowdown relative to the class running alone on an idle machine, in percent.
    pub slowdown_percent: u32,
    /// Share of the machine's slots in use when the sample was taken, in percent.
    pub load_percent: u32,
}

/// Periodic heartbeat of an agent.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// The agent.
    pub incarnation: Incarnation,
    /// Sequence number; a heartbeat that arrives after one with a higher number is ignored.
    pub sequence: u64,
    /// Whether the agent is leaving and accepts no new work.
    pub leaving: bool,
    /// Load at the time of sending.
    pub load: Load,
    /// Version of the agent's configuration.
    pub config: Version,
    /// Runs that the agent holds: all that it has started, up to the record of their end. The list is made
    /// after `leaving` is determined, so an agent that leaves starts no other run.
    pub runs: Vec<RunStatus>,
    /// New usage samples.
    pub usage: Vec<UsageSample>,
    /// New samples of urgent work.
    pub urgent: Vec<UrgentSample>,
    /// Entries known to the agent, so that entries discover each other.
    pub entries: Vec<EntryInfo>,
}

/// Membership status of the sender of a heartbeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// The member is known.
    Known,
    /// The member is unknown and must announce itself.
    Unknown,
    /// The member was recorded as lost: its runs may be bound elsewhere, so it must stop them and
    /// start a new incarnation.
    Lost,
}

/// Reply to [`Heartbeat`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Membership status of the sender.
    pub verdict: Verdict,
    /// Lease on all runs of the sender, in milliseconds from the time the heartbeat was sent. Zero
    /// if the entry has not read the log recently.
    pub lease_ms: u64,
    /// The entry's configuration, if it is newer than the sender's or the sender's is refuted.
    pub config: Option<ConfigState>,
    /// The sender's configuration version, if a later read of the log shows that the log doesn't
    /// hold it. Earlier versions don't send it.
    #[serde(default)]
    pub refuted: Option<Version>,
    /// Entries known to the replying entry, including itself.
    pub entries: Vec<EntryInfo>,
}

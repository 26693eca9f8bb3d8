//! An agent runs what the leader orders on the workers of its machine.

mod checkpoints;
mod claims;
mod client;
mod clock_check;
mod crash;
mod doubts;
mod ends;
mod execute;
mod follow;
mod grants;
mod identity;
mod introduction;
mod lists;
mod managed;
mod pacing;
mod registry;
mod renewal;
mod report;
mod resend;
mod run;
mod sequence;
mod shutdown;
mod stall;
mod start_block;
mod unstarted;
mod waiting;
mod zones;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

pub use client::{
    CallError, Heartbeat, LeaseReply, ListedCheckpoint, ListedEnd, ListedRun, Rejection,
    StartOrder, StartReply, WorkerClient,
};
pub use doubts::Doubt;
pub use registry::WorkerRegistry;
pub use zones::WithdrawalSettings;

use crate::appender::Appender;
use crate::metrics::Metrics;
use crate::store::KeyedLog;

/// Creates a client of the worker at an address.
pub type Dial = fn(SocketAddr) -> Arc<dyn WorkerClient>;

/// Dependencies and settings of an agent.
#[derive(Debug, Clone)]
pub struct AgentContext {
    /// The platform's log.
    pub log: Arc<dyn KeyedLog>,
    /// Appends to the main stream.
    pub appender: Appender,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Creates clients of workers.
    pub dial: Dial,
    /// Longest lease that workers grant.
    pub max_lease: Duration,
    /// Settings of the check against withdrawn zones; `None` if the deployment has no withdrawal.
    pub withdrawal: Option<WithdrawalSettings>,
    /// Cancelled when a task of the agent has failed too often.
    pub failed: CancellationToken,
}

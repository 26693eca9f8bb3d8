//! The worker as its agent sees it.

use std::fmt::Debug;
use std::time::Duration;

use agate_core::Resources;
use agate_jobs::{EndCause, TaskKey, WorkerIncarnation};
use async_trait::async_trait;
use displaydoc::Display;

/// What a worker says of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Its name.
    pub name: String,
    /// Start of its incarnation in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Number of the heartbeat within the incarnation.
    pub sequence: u64,
    /// Whether it will leave and takes no new tasks.
    pub draining: bool,
    /// Service to which it belongs.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Where it takes calls.
    pub address: String,
    /// What it can carry.
    pub capacity: Resources,
    /// Its labels: kind and rack.
    pub labels: Vec<String>,
}

/// A start to carry out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Text handed to the task.
    pub payload: String,
    /// Checkpoint to continue from; empty if there is none.
    pub checkpoint: String,
    /// Permission of the placement service; empty if none is needed.
    pub ticket: String,
}

/// Answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// It runs.
    Started,
    /// It was not started and nothing has changed.
    Rejected(Rejection),
}

/// Why a worker rejected a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// A run of this number or a higher one has ended there.
    Old,
    /// The start came after its deadline.
    Late,
    /// There is no room.
    Room,
    /// The permission of the placement service is missing or has expired.
    Ticket,
    /// The worker is unhealthy or refused for another reason.
    Other,
}

/// A run that a worker lists as running.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Its newest checkpoint; empty if there is none.
    pub checkpoint: String,
    /// Progress in percent.
    pub percent: u32,
    /// For a task with a latency target its tail latency in milliseconds, otherwise the processor
    /// time in use in thousandths of a core.
    pub gauge: u64,
}

/// The end of a run as a worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// Its number; numbers rise within an incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Why it ended.
    pub cause: EndCause,
    /// Checkpoint to continue from; empty if there is none.
    pub checkpoint: String,
}

/// What a worker runs and what has ended there.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseReply {
    /// Start of the incarnation that answers; `None` if it doesn't tell.
    pub started_ms: Option<u64>,
    /// The worker's clock in milliseconds.
    pub worker_ms: u64,
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Ends that have not been acknowledged.
    pub ended: Vec<ListedEnd>,
}

/// Why a call to a worker failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallError {
    /// the worker was not reached: {0}
    NotSent(String),
    /// the worker gave no answer, the call may still be carried out: {0}
    Unknown(String),
    /// another incarnation answers at the address
    OtherLife,
    /// the worker refused the call with status {0}
    Refused(u16),
}

impl std::error::Error for CallError {}

/// Calls to a worker. An implementation makes each call at most once.
#[async_trait]
pub trait WorkerClient: Debug + Send + Sync {
    /// Starts a run, which may not begin after `deadline_ms` on the worker's clock.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no answer to rely on.
    async fn start(
        &self,
        incarnation: &WorkerIncarnation,
        order: &StartOrder,
        deadline_ms: u64,
    ) -> Result<StartReply, CallError>;

    /// Stops a run; one that has not arrived will be rejected.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no answer to rely on.
    async fn stop(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
    ) -> Result<(), CallError>;

    /// Extends the lease to `deadline_ms` on the worker's clock, acknowledges ends up to the number
    /// `seen`, and lists what runs and what has ended, after up to `wait` if nothing ends before.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no answer to rely on.
    async fn renew_lease(
        &self,
        incarnation: &WorkerIncarnation,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        wait: Duration,
    ) -> Result<LeaseReply, CallError>;

    /// Sets the share of its speed at which a run works, in percent.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no answer to rely on.
    async fn set_pace(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        percent: u32,
    ) -> Result<(), CallError>;
}

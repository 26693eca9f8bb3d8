//! The client interface of a worker.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use agate_core::Resources;
use agate_jobs::{EndCause, TaskKey, WorkerIncarnation};
use async_trait::async_trait;
use displaydoc::Display;

/// A worker's description of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Heartbeat {
    /// Name of the worker.
    pub name: String,
    /// Start of its incarnation in milliseconds since the Unix epoch.
    pub started_ms: u64,
    /// Sequence number within the incarnation.
    pub sequence: u64,
    /// Whether the worker is about to leave and takes no new tasks.
    pub draining: bool,
    /// The service that it belongs to.
    pub service: String,
    /// Its availability zone.
    pub zone: String,
    /// Address at which it accepts calls.
    pub address: SocketAddr,
    /// Resources that it offers.
    pub capacity: Resources,
    /// Its labels: kind and rack.
    pub labels: Vec<String>,
    /// Time for which it stays slow after its start, in milliseconds.
    pub cold_ms: u64,
}

/// A run to be started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StartOrder {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Opaque text for the task.
    pub payload: String,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Ticket of the placement service; empty if none is needed.
    pub ticket: String,
}

/// Answer to a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartReply {
    /// The run is in progress.
    Started,
    /// The run was not started; nothing has changed.
    Rejected(Rejection),
}

/// Why a worker rejected a start.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Rejection {
    /// A run with this number or a higher one has already ended there.
    Old,
    /// The start arrived after its deadline.
    Late,
    /// There is not enough room.
    Room,
    /// The ticket of the placement service is missing or expired.
    Ticket,
    /// The worker is unhealthy or gave another reason.
    Other,
}

/// Checkpoint of a run as its worker lists it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ListedCheckpoint {
    /// The text to resume from; empty if there is none.
    Text(String),
    /// It is too long to be recorded; its length in bytes. The run goes on, and resumes from the last one that
    /// was not.
    TooLong(usize),
}

/// A run that the worker lists as in progress.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Its newest checkpoint.
    pub checkpoint: ListedCheckpoint,
    /// Progress in percent.
    pub percent: u32,
    /// Tail latency in milliseconds for a task with a latency target; otherwise the processor time
    /// in use, in millicores.
    pub gauge: u64,
}

/// The end of a run as listed by the worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ListedEnd {
    /// Sequence number within the incarnation.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Why it ended.
    pub cause: EndCause,
    /// Checkpoint to resume from.
    pub checkpoint: ListedCheckpoint,
}

/// Lists of a worker's runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LeaseReply {
    /// Start of the incarnation that answers; `None` if the worker doesn't report it.
    pub started_ms: Option<u64>,
    /// The worker's clock in milliseconds.
    pub worker_ms: u64,
    /// Runs in progress.
    pub running: Vec<ListedRun>,
    /// Ends that are not yet acknowledged, the oldest first.
    pub ended: Vec<ListedEnd>,
    /// Whether there may be more of them, which the worker lists once these are acknowledged.
    pub more_ended: bool,
}

/// Why a call to a worker failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum CallError {
    /// the worker was not reached: {0}
    NotSent(String),
    /// the worker gave no answer; the call may still take effect: {0}
    Unknown(String),
    /// another incarnation answers at the address
    OtherLife,
    /// the worker refused the call with status {0}
    Refused(u16),
}

impl std::error::Error for CallError {}

/// Calls to a worker. Implementations don't retry.
#[async_trait]
pub trait WorkerClient: Debug + Send + Sync {
    /// Starts a run, which must not begin after `deadline_ms` on the worker's clock.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no reliable answer.
    async fn start(
        &self,
        incarnation: &WorkerIncarnation,
        order: &StartOrder,
        deadline_ms: u64,
    ) -> Result<StartReply, CallError>;

    /// Stops a run. If its start arrives later, the worker rejects it.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no reliable answer.
    async fn stop(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
    ) -> Result<(), CallError>;

    /// Renews the lease up to `deadline_ms` on the worker's clock, acknowledges ends up to the
    /// number `acknowledged`, and lists running and ended runs. The answer is delayed by up to
    /// `wait` until a run ends.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no reliable answer.
    async fn renew_lease(
        &self,
        incarnation: &WorkerIncarnation,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        wait: Duration,
    ) -> Result<LeaseReply, CallError>;

    /// Sets the pace of a run, in percent of its full speed.
    ///
    /// # Errors
    ///
    /// Returns [`CallError`] if there is no reliable answer.
    async fn set_pace(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
        percent: u32,
    ) -> Result<(), CallError>;
}

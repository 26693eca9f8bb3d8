//! Keyed records stored in the platform's log.

use agate_core::JobId;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use strum::EnumString;

use crate::crash::Crash;
use crate::loss::LossReason;
use crate::pace::Interference;
use crate::spec::{JobSpec, QueuePolicy};
use crate::task::TaskKey;
use crate::worker::{WorkerIncarnation, WorkerReport, is_false};

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndCause {
    /// The task finished.
    Done,
    /// The run failed; counts against the task's attempts.
    Failed,
    /// The run was stopped.
    Stopped,
    /// The run was stopped because it made no progress.
    Stalled,
    /// The run's lease lapsed.
    Lapsed,
    /// Another member of the gang ended.
    Broken,
    /// The run gave up waiting for the other members of its gang.
    Alone,
    /// The worker had no capacity left; the task did not run.
    NoRoom,
    /// The worker rejected the start for another reason; the task did not run.
    Refused,
    /// The worker is gone or its lease has lapsed, so the run can no longer be active.
    Lost,
    /// The worker neither runs the task nor lists its end, and can no longer start it.
    Untraced,
}

impl EndCause {
    /// Returns whether the agent inferred the end because the worker lists none. An end listed by
    /// the worker takes precedence, regardless of the order of the records.
    pub const fn is_inferred(self) -> bool {
        matches!(self, Self::NoRoom | Self::Refused | Self::Untraced)
    }
}

/// The end of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Why the run ended.
    pub cause: EndCause,
    /// Checkpoint that the next run can resume from; empty if there is none.
    #[serde(rename = "saved", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// Worker that the run was bound to.
    pub worker: String,
    /// Run time as observed by the agent, in milliseconds; zero if the task did not run.
    #[serde(default)]
    pub ran_ms: u64,
    /// Why the scheduler counts the run as lost; `None` for other ends.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub loss: Option<LossReason>,
    /// How the worker crashed; `None` if the run didn't end with a crash.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub crash: Option<Crash>,
}

/// Heartbeat of the leader, the entry that schedules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Epoch of the leader; a higher epoch supersedes a lower one.
    pub epoch: u64,
    /// Name of the leading entry.
    pub entry: String,
    /// Whether the entry resigns as leader.
    #[serde(default)]
    pub resigns: bool,
    /// Jobs whose first start the leader has learned of since the last heartbeat.
    #[serde(rename = "begun", default, skip_serializing_if = "Vec::is_empty")]
    pub started_jobs: Vec<JobId>,
    /// Open suspicions whose record was stored before this heartbeat was written.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub suspects: Vec<Suspect>,
}

/// An open suspicion of a worker.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Suspect {
    /// The suspected incarnation, with its term.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Number of the suspicion.
    #[serde(rename = "suspicion")]
    pub number: u64,
    /// Time since it is known to be stored when the heartbeat was written, in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

impl Suspect {
    /// Returns whether both are the same suspicion, whatever their age.
    pub(crate) fn is_same(&self, other: &Self) -> bool {
        self.incarnation == other.incarnation && self.number == other.number
    }
}

/// An instruction to a worker's agent concerning a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Incarnation that the order is addressed to.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// What the agent should do.
    pub kind: OrderKind,
}

/// What an agent should do with a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Start the run.
    Start {
        /// Text passed to the task.
        payload: String,
        /// Checkpoint to resume from; empty if there is none.
        #[serde(rename = "saved")]
        checkpoint: String,
        /// Resources that the run occupies, for restoring bindings after a failover.
        demand: agate_core::Resources,
        /// Ticket of the placement service; empty if the queue needs none.
        ticket: String,
        /// Whether the task uses only spare processor time.
        #[serde(rename = "fills")]
        best_effort: bool,
        /// Whether the task can resume from a checkpoint after a stop.
        checkpoints: bool,
        /// Name of the program that the task runs.
        image: String,
        /// Target for the task's tail latency, in milliseconds; zero if it has none.
        target_ms: u64,
        /// Estimated run time in milliseconds; zero for long-running tasks.
        estimate_ms: u64,
        /// Known interference with the serving tasks on the worker.
        #[serde(rename = "pressures", default, skip_serializing_if = "Vec::is_empty")]
        interference: Vec<Interference>,
        /// Whether the job counted as queued when the run was bound. The agent then reports the start.
        #[serde(default, skip_serializing_if = "is_false")]
        first: bool,
    },
    /// Stop the run, or prevent it from starting.
    Stop {
        /// Resources that the run occupies until its end is recorded.
        demand: agate_core::Resources,
        /// Whether the task uses only spare processor time.
        #[serde(rename = "fills")]
        best_effort: bool,
    },
}

impl Order {
    /// Returns the resources that the run takes from its worker's capacity. A best-effort task uses
    /// processor time that others leave.
    pub const fn occupies(&self) -> agate_core::Resources {
        let (OrderKind::Start {
            demand,
            best_effort,
            ..
        }
        | OrderKind::Stop {
            demand,
            best_effort,
        }) = &self.kind;
        agate_core::Resources {
            millicores: if *best_effort { 0 } else { demand.millicores },
            ..*demand
        }
    }
}

/// The scheduler's suspicion of a worker. Written only by the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionRecord {
    /// The incarnation, with the term in which it may run tasks.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Number of the newest suspicion; increases with each one.
    #[serde(rename = "suspicion")]
    pub number: u64,
    /// Whether the suspicion is open. Leases must not be renewed until it is cleared.
    pub suspected: bool,
}

/// A record and its key. The log keeps the newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The contents; `None` for a tombstone, which drops the key.
    pub body: Option<Body>,
}

/// Contents of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A job was accepted.
    Submitted {
        /// The job.
        job: JobId,
        /// Specification as submitted.
        spec: JobSpec,
        /// Policy of the queue.
        #[serde(rename = "terms")]
        policy: QueuePolicy,
        /// Time of acceptance by the entry's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A job was cancelled, or will be if its submission is recorded later.
    Cancelled {
        /// The job.
        job: JobId,
        /// Queue that the caller named; empty in records of earlier versions, which hold for any queue.
        #[serde(default, skip_serializing_if = "String::is_empty")]
        queue: String,
        /// Time of the cancellation by the entry's wall clock, in milliseconds since the Unix epoch.
        #[serde(default)]
        at_ms: u64,
    },
    /// A job is in its final state and its other records have been dropped.
    Closed {
        /// The job.
        job: JobId,
        /// Name of the job's queue.
        queue: String,
        /// The final state.
        state: crate::table::JobState,
        /// Time of closing by the leader's wall clock, in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A run ended.
    Ended(RunEnd),
    /// An agent reported on its worker.
    Worker(WorkerReport),
    /// The leader sent a heartbeat.
    Leader(LeaderHeartbeat),
    /// The leader sent an order to an agent.
    Order(Order),
    /// The leader raised, cleared or settled a suspicion of a worker.
    #[serde(rename = "standing")]
    Suspicion(SuspicionRecord),
}

/// Returns the key prefix of an end. Lost, inferred and listed ends, and those by a crash, have
/// different prefixes, so that the log doesn't replace one with another.
const fn end_kind(end: &RunEnd) -> &'static str {
    match end.cause {
        EndCause::Lost if end.crash.is_some() => "k",
        EndCause::Lost => "x",
        cause if cause.is_inferred() => "n",
        _ => "e",
    }
}

/// invalid record {key:?}: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct RecordError {
    /// Key of the record.
    pub key: String,
    /// Why it is invalid.
    pub cause: String,
}

impl std::error::Error for RecordError {}

impl Body {
    /// Returns the key of a record with these contents.
    fn key(&self) -> String {
        match self {
            Self::Submitted { job, .. } => format!("j/{job}"),
            Self::Cancelled { job, .. } => format!("c/{job}"),
            Self::Closed { job, .. } => format!("d/{job}"),
            Self::Ended(end) => format!("{}/{}/{}", end_kind(end), end.task, end.run),
            Self::Worker(report) => format!("w/{}", report.incarnation.name),
            Self::Leader(_) => "l".to_owned(),
            Self::Order(order) => format!("r/{}/{}", order.incarnation.name, order.task),
            Self::Suspicion(suspicion) => format!("s/{}", suspicion.incarnation.name),
        }
    }
}

/// Parses contents that are stored under `key`.
fn parse_body(key: &str, value: &[u8]) -> Result<Body, String> {
    let body: Body = serde_json::from_slice(value).map_err(|error| error.to_string())?;
    body.validate().map_err(|error| error.to_string())?;
    let expected = body.key();
    if key != expected {
        return Err(format!("its contents are those of {expected:?}"));
    }
    Ok(body)
}

impl Record {
    /// Creates a record; its key is derived from the contents.
    pub fn new(body: Body) -> Self {
        Self {
            key: body.key(),
            body: Some(body),
        }
    }

    /// Creates a record that drops `key`.
    pub const fn tombstone(key: String) -> Self {
        Self { key, body: None }
    }

    /// Encodes the contents for the log. The value of a tombstone is empty.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the contents can't be serialized.
    pub fn value(&self) -> Result<Vec<u8>, RecordError> {
        let Some(body) = &self.body else {
            return Ok(Vec::new());
        };
        serde_json::to_vec(body).map_err(|error| self.error(&error))
    }

    /// Parses a stored record that is read at the time `wall_ms` of the wall clock, in milliseconds since
    /// the Unix epoch.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] as [`Self::parse`] does, or if the record could only be written later.
    pub fn parse_at(key: String, value: &[u8], wall_ms: u64) -> Result<Self, RecordError> {
        let record = Self::parse(key, value)?;
        let checked = record.body.as_ref().map(|body| body.validate_at(wall_ms));
        match checked {
            Some(Err(error)) => Err(RecordError {
                key: record.key,
                cause: error.to_string(),
            }),
            _ => Ok(record),
        }
    }

    /// Parses a stored record.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the contents are malformed, unknown to this version, out of bounds,
    /// or those of another key.
    pub fn parse(key: String, value: &[u8]) -> Result<Self, RecordError> {
        if value.is_empty() {
            return Ok(Self::tombstone(key));
        }
        match parse_body(&key, value) {
            Ok(body) => Ok(Self {
                key,
                body: Some(body),
            }),
            Err(cause) => Err(RecordError { key, cause }),
        }
    }

    fn error(&self, error: &serde_json::Error) -> RecordError {
        RecordError {
            key: self.key.clone(),
            cause: error.to_string(),
        }
    }
}

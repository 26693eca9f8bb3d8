//! Records kept in the platform's log under a key.

use agate_core::JobId;
use displaydoc::Display;
use serde::{Deserialize, Serialize};
use strum::EnumString;

use crate::pace::Interference;
use crate::spec::{JobSpec, QueuePolicy};
use crate::task::TaskKey;
use crate::worker::{WorkerIncarnation, WorkerReport};

/// Why a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, strum::Display, EnumString)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum EndCause {
    /// The task is finished.
    Done,
    /// It failed; this counts as an attempt.
    Failed,
    /// It was stopped.
    Stopped,
    /// It was stopped because it got no further.
    Stalled,
    /// Its lease lapsed.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// It waited for the other members of its gang in vain.
    Alone,
    /// The worker had no room for it; it has not run.
    NoRoom,
    /// The worker refused the start for another reason; it has not run.
    Refused,
    /// Its worker is gone or its lease has lapsed, so that nothing of it runs.
    Lost,
    /// The worker neither runs it nor lists its end, and won't start it any more.
    Untraced,
}

impl EndCause {
    /// Whether the agent concluded it from the absence of an end in the worker's list. An end that
    /// the worker has listed at some time goes before it, whatever the order of the records.
    pub const fn is_inferred(self) -> bool {
        matches!(self, Self::NoRoom | Self::Refused | Self::Untraced)
    }
}

/// End of a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunEnd {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Why it ended.
    pub cause: EndCause,
    /// Checkpoint from which the next run may continue; empty if there is none.
    #[serde(rename = "saved", default, skip_serializing_if = "String::is_empty")]
    pub checkpoint: String,
    /// The worker on which it ran.
    pub worker: String,
    /// Time between start and end as the agent saw it, in milliseconds; zero if it didn't run.
    #[serde(default)]
    pub ran_ms: u64,
}

/// Sign of life of the scheduling entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaderHeartbeat {
    /// Its epoch; higher ones replace lower ones.
    pub epoch: u64,
    /// Name of the entry.
    pub entry: String,
    /// Whether the entry gives up the role with this record.
    #[serde(default)]
    pub resigns: bool,
    /// Jobs of which a first task has been started since the last beat.
    #[serde(rename = "begun", default, skip_serializing_if = "Vec::is_empty")]
    pub started_jobs: Vec<JobId>,
}

/// What a worker's agent is told about a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// The incarnation that the order is meant for.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// What to do.
    pub kind: OrderKind,
}

/// What to do with a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Start it.
    Start {
        /// Text handed to the task.
        payload: String,
        /// Checkpoint to continue from; empty if there is none.
        #[serde(rename = "saved")]
        checkpoint: String,
        /// What it occupies, for a scheduler that takes over.
        demand: agate_core::Resources,
        /// Permission of the placement service; empty if the queue needs none.
        ticket: String,
        /// Whether it uses only spare processor time.
        #[serde(rename = "fills")]
        best_effort: bool,
        /// Whether it can continue from a checkpoint after a stop.
        checkpoints: bool,
        /// Name of the program that it runs.
        image: String,
        /// Bound on the tail latency it serves with, in milliseconds; zero for none.
        target_ms: u64,
        /// Estimate of its run time in milliseconds; zero for lasting tasks.
        estimate_ms: u64,
        /// What it is known to add to the use of serving tasks on the worker.
        #[serde(rename = "pressures", default, skip_serializing_if = "Vec::is_empty")]
        interference: Vec<Interference>,
    },
    /// Stop it; if it has not started, it must not start any more.
    Stop {
        /// What it occupies until its end is recorded.
        demand: agate_core::Resources,
        /// Whether it uses only spare processor time.
        #[serde(rename = "fills")]
        best_effort: bool,
    },
}

/// What the scheduler holds of one worker; written only by the scheduler.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspicionRecord {
    /// The incarnation, with the term in which it may run tasks.
    #[serde(rename = "life")]
    pub incarnation: WorkerIncarnation,
    /// Number of the newest suspicion.
    #[serde(rename = "suspicion")]
    pub number: u64,
    /// Whether leases may not be extended until the suspicion is cleared.
    pub suspected: bool,
}

/// One record and the key under which the log keeps the newest.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Record {
    /// The key.
    pub key: String,
    /// The contents; `None` drops the key.
    pub body: Option<Body>,
}

/// Contents of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// A job was accepted.
    Submitted {
        /// Its id.
        job: JobId,
        /// What it consists of.
        spec: JobSpec,
        /// What its queue fixed.
        #[serde(rename = "terms")]
        policy: QueuePolicy,
        /// Wall clock of the accepting entry in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A job was cancelled.
    Cancelled {
        /// Its id.
        job: JobId,
    },
    /// A job has come to its final state; its other records have been dropped.
    Closed {
        /// Its id.
        job: JobId,
        /// Name of its queue.
        queue: String,
        /// The final state.
        state: crate::table::JobState,
        /// Wall clock of the writer in milliseconds since the Unix epoch.
        at_ms: u64,
    },
    /// A run has ended.
    Ended(RunEnd),
    /// An agent reports on its worker.
    Worker(WorkerReport),
    /// Sign of life of the scheduling entry.
    Leader(LeaderHeartbeat),
    /// An order for an agent.
    Order(Order),
    /// What the scheduler holds of a worker.
    #[serde(rename = "standing")]
    Suspicion(SuspicionRecord),
}

/// First part of the key of an end. Ends of different kinds have different keys, so that none
/// replaces another as the newest record.
const fn end_kind(cause: EndCause) -> &'static str {
    match cause {
        EndCause::Lost => "x",
        cause if cause.is_inferred() => "n",
        _ => "e",
    }
}

/// the record under {key:?} can't be read: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct RecordError {
    /// The key.
    pub key: String,
    /// What is wrong.
    pub cause: String,
}

impl std::error::Error for RecordError {}

impl Record {
    /// A record under the key that its contents determine.
    pub fn new(body: Body) -> Self {
        let key = match &body {
            Body::Submitted { job, .. } => format!("j/{job}"),
            Body::Cancelled { job } => format!("c/{job}"),
            Body::Closed { job, .. } => format!("d/{job}"),
            Body::Ended(end) => format!("{}/{}/{}", end_kind(end.cause), end.task, end.run),
            Body::Worker(report) => format!("w/{}", report.incarnation.name),
            Body::Leader(_) => "l".to_owned(),
            Body::Order(order) => format!("r/{}/{}", order.incarnation.name, order.task),
            Body::Suspicion(suspicion) => format!("s/{}", suspicion.incarnation.name),
        };
        Self {
            key,
            body: Some(body),
        }
    }

    /// A record that drops `key`.
    pub const fn tombstone(key: String) -> Self {
        Self { key, body: None }
    }

    /// The contents as the log stores them; empty to drop the key.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the contents can't be written.
    pub fn value(&self) -> Result<Vec<u8>, RecordError> {
        let Some(body) = &self.body else {
            return Ok(Vec::new());
        };
        serde_json::to_vec(body).map_err(|error| self.error(&error))
    }

    /// Reads a record as the log stores it.
    ///
    /// # Errors
    ///
    /// Returns [`RecordError`] if the contents are none that this version knows.
    pub fn parse(key: String, value: &[u8]) -> Result<Self, RecordError> {
        if value.is_empty() {
            return Ok(Self::tombstone(key));
        }
        match serde_json::from_slice(value) {
            Ok(body) => Ok(Self {
                key,
                body: Some(body),
            }),
            Err(error) => Err(Self::tombstone(key).error(&error)),
        }
    }

    fn error(&self, error: &serde_json::Error) -> RecordError {
        RecordError {
            key: self.key.clone(),
            cause: error.to_string(),
        }
    }
}

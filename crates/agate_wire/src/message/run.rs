//! Messages that start, control and report batch runs.

use agate_core::{ClassName, Incarnation, Position, Resources, RunId, Tag, TeamName, TraceContext};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Asks an agent to start a run that a record in the log binds to it.
///
/// The message carries no lease, because the agent can't tell how long the message was in transit.
/// The run is covered by the lease that the agent renews with its heartbeats; if that lease has
/// expired, the run starts paused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRun {
    /// The run.
    pub run: RunId,
    /// The incarnation that the run is bound to.
    pub incarnation: Incarnation,
    /// Position of the binding record. The agent refuses the run if it knows of a newer withdrawal
    /// that applies to it.
    pub bound: Position,
    /// Class of the task.
    pub class: ClassName,
    /// Tags of the task.
    pub tags: Vec<Tag>,
    /// Team whose quota the run counts against.
    pub team: TeamName,
    /// Resources that the agent reserves for the run.
    pub demand: Resources,
    /// Resources that the submitter declared.
    pub declared: Resources,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Input of the task, not interpreted by the system.
    pub payload: String,
    /// Trace that the run belongs to.
    pub trace: TraceContext,
}

/// Reply to [`StartRun`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartReply {
    /// The run has started, on this request or an earlier one.
    Started,
    /// The run has not started on this agent and never will.
    Refused {
        /// Reason for the refusal.
        reason: String,
    },
    /// The replying agent is another incarnation.
    Gone,
}

/// Action on a running task.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunAction {
    /// Throttle the task.
    Throttle,
    /// Lift a throttle.
    Release,
    /// Checkpoint the task, then end it.
    Evict,
    /// End the task without a new checkpoint; it later restarts from its last one.
    Stop,
    /// End the task permanently.
    Cancel,
}

/// Asks an agent to apply an action to a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunActionRequest {
    /// The run.
    pub run: RunId,
    /// The incarnation that the run is bound to.
    pub incarnation: Incarnation,
    /// The action.
    pub kind: RunAction,
}

/// Reply to [`RunActionRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunActionReply {
    /// The action is in progress; the end of the run is reported with a [`RunReport`].
    Accepted,
    /// The run never started on this agent and never will: it is tombstoned.
    NotStarted,
    /// The run has ended on this agent; its report is recorded or still being sent.
    Ended,
    /// The replying agent is another incarnation.
    Gone,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunResult {
    /// The task finished.
    Finished,
    /// The task failed.
    Failed {
        /// Reason that the worker gave.
        reason: String,
        /// Whether the task ran out of a resource.
        exhausted: bool,
    },
    /// The task was checkpointed and evicted.
    Evicted {
        /// Checkpoint to resume from.
        checkpoint: String,
    },
    /// The task was ended without a new checkpoint.
    Stopped,
    /// The run never started on this agent and never will.
    NotStarted {
        /// Reason why it did not start.
        reason: String,
    },
}

/// Reports the end of a run to an entry. The agent repeats the report until an entry has recorded
/// it. For an evicted run, the agent keeps the resources reserved until then.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: RunId,
    /// The incarnation that held the run.
    pub incarnation: Incarnation,
    /// How the run ended.
    pub result: RunResult,
    /// Peak resource usage.
    pub peak: Resources,
    /// Running time in milliseconds.
    pub ran_ms: u64,
}

/// Reply to [`RunReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportAck {
    /// The log contains the end of the run, or a later epoch has superseded the run.
    Recorded,
    /// The entry could not record the report; the agent must retry.
    Again,
}

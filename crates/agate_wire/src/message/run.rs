//! Batch runs: start, stop and report.

use agate_core::{ClassName, Incarnation, Position, Resources, RunId, Tag, TeamName, TraceContext};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Asks an agent to start a run that the log has bound to it.
///
/// The message carries no lease: it may have been under way for any time, and the agent can't tell.
/// The run is held under the lease that the agent's own heartbeats have earned; if that has lapsed,
/// the run starts paused.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartRun {
    /// The run.
    pub run: RunId,
    /// The incarnation that the run is bound to.
    pub incarnation: Incarnation,
    /// Position of the binding record. The agent refuses it if a withdrawal that it knows of and
    /// that applies to the run is newer.
    pub bound: Position,
    /// Class of the task.
    pub class: ClassName,
    /// Tags of the task.
    pub tags: Vec<Tag>,
    /// Team whose quota it counts against.
    pub team: TeamName,
    /// What the agent sets aside for it.
    pub demand: Resources,
    /// What the submitter declared.
    pub declared: Resources,
    /// Checkpoint to resume from.
    pub checkpoint: Option<String>,
    /// Input of the task, opaque to the system.
    pub payload: String,
    /// Trace that the run belongs to.
    pub trace: TraceContext,
}

/// Answer to [`StartRun`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum StartReply {
    /// The run has started, now or at an earlier request.
    Started,
    /// The run has not started here and never will.
    Refused {
        /// Why.
        reason: String,
    },
    /// The agent that answers is another incarnation.
    Gone,
}

/// What is done to a running task.
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
    /// Slow it down.
    Throttle,
    /// Take a throttle back.
    Release,
    /// Checkpoint it, then end it.
    Evict,
    /// End it without a checkpoint; it runs again from its last one.
    Stop,
    /// End it for good.
    Cancel,
}

/// Asks an agent to act on a run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunActionRequest {
    /// The run.
    pub run: RunId,
    /// The incarnation that the run is bound to.
    pub incarnation: Incarnation,
    /// What to do.
    pub kind: RunAction,
}

/// Answer to [`RunActionRequest`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunActionReply {
    /// The step is under way; the end is reported by [`RunReport`].
    Accepted,
    /// The run never started here and never will: it is tombstoned.
    NotStarted,
    /// The run has ended here; its report stands or is being sent.
    Ended,
    /// The agent that answers is another incarnation.
    Gone,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum RunResult {
    /// The task is finished.
    Finished,
    /// The task failed.
    Failed {
        /// What the worker said.
        reason: String,
        /// Whether it ran out of a resource.
        exhausted: bool,
    },
    /// The task was checkpointed and evicted.
    Evicted {
        /// Where it resumes from.
        checkpoint: String,
    },
    /// The task was ended without a new checkpoint.
    Stopped,
    /// The run never started here and never will.
    NotStarted {
        /// Why.
        reason: String,
    },
}

/// Tells an entry how a run ended. The agent repeats it until an entry has recorded it, and keeps
/// the run's room until then if the run was evicted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RunReport {
    /// The run.
    pub run: RunId,
    /// The incarnation that held it.
    pub incarnation: Incarnation,
    /// How it ended.
    pub result: RunResult,
    /// The most that it used.
    pub peak: Resources,
    /// Time that it ran, in milliseconds.
    pub ran_ms: u64,
}

/// Answer to [`RunReport`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ReportAck {
    /// The log holds the end of the run, or a later epoch has replaced it.
    Recorded,
    /// The entry could not record it; the agent reports again.
    Again,
}

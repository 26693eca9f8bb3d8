//! Records of batch runs.

use agate_core::{Incarnation, Resources, RunId};
use agate_wire::message::RunResult;

use crate::convert::required;
use crate::{RecordError, generated};

/// Binds a run to an incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunBound {
    /// The run.
    pub run: RunId,
    /// The incarnation that may start it.
    pub incarnation: Incarnation,
    /// Resources that the agent reserves.
    pub demand: Resources,
}

/// How a run ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RunEnd {
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
    /// The run never started and never will.
    NotStarted {
        /// Reason why it did not start.
        reason: String,
    },
    /// The holder was recorded as lost and its lease has expired.
    Lost,
    /// The task can never run.
    Impossible {
        /// Reason why it can't run.
        reason: String,
    },
}

/// Records the end of a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunEnded {
    /// The run. For an unbound task, [`RunEnd::Impossible`] carries the task's last epoch, which is
    /// 0 before the first binding.
    pub run: RunId,
    /// The incarnation that held the run; meaningless for an unbound task.
    pub incarnation: Incarnation,
    /// How the run ended.
    pub end: RunEnd,
    /// Peak resource usage.
    pub peak: Resources,
}

impl From<RunResult> for RunEnd {
    fn from(result: RunResult) -> Self {
        match result {
            RunResult::Finished => Self::Finished,
            RunResult::Failed { reason, exhausted } => Self::Failed { reason, exhausted },
            RunResult::Evicted { checkpoint } => Self::Evicted { checkpoint },
            RunResult::Stopped => Self::Stopped,
            RunResult::NotStarted { reason } => Self::NotStarted { reason },
        }
    }
}

impl From<RunBound> for generated::RunBound {
    fn from(record: RunBound) -> Self {
        Self {
            run: Some(record.run.into()),
            incarnation: record.incarnation.get(),
            demand: Some(record.demand.into()),
        }
    }
}

impl TryFrom<generated::RunBound> for RunBound {
    type Error = RecordError;

    fn try_from(record: generated::RunBound) -> Result<Self, RecordError> {
        Ok(Self {
            run: required(record.run, "run")?.into(),
            incarnation: Incarnation::new(record.incarnation),
            demand: required(record.demand, "demand")?.into(),
        })
    }
}

impl From<RunEnded> for generated::RunEnded {
    fn from(record: RunEnded) -> Self {
        let mut encoded = Self {
            run: Some(record.run.into()),
            incarnation: record.incarnation.get(),
            peak: Some(record.peak.into()),
            ..Self::default()
        };
        let result = match record.end {
            RunEnd::Finished => generated::RunResult::Finished,
            RunEnd::Failed { reason, exhausted } => {
                encoded.reason = reason;
                encoded.exhausted = exhausted;
                generated::RunResult::Failed
            }
            RunEnd::Evicted { checkpoint } => {
                encoded.checkpoint = checkpoint;
                generated::RunResult::Evicted
            }
            RunEnd::Stopped => generated::RunResult::Stopped,
            RunEnd::NotStarted { reason } => {
                encoded.reason = reason;
                generated::RunResult::NotStarted
            }
            RunEnd::Lost => generated::RunResult::Lost,
            RunEnd::Impossible { reason } => {
                encoded.reason = reason;
                generated::RunResult::Impossible
            }
        };
        encoded.set_result(result);
        encoded
    }
}

impl TryFrom<generated::RunEnded> for RunEnded {
    type Error = RecordError;

    fn try_from(record: generated::RunEnded) -> Result<Self, RecordError> {
        let Ok(result) = generated::RunResult::try_from(record.result) else {
            return Err(RecordError::OutOfRange { field: "result" });
        };
        let reason = record.reason;
        let end = match result {
            generated::RunResult::Finished => RunEnd::Finished,
            generated::RunResult::Failed => RunEnd::Failed {
                reason,
                exhausted: record.exhausted,
            },
            generated::RunResult::Evicted => RunEnd::Evicted {
                checkpoint: record.checkpoint,
            },
            generated::RunResult::Stopped => RunEnd::Stopped,
            generated::RunResult::NotStarted => RunEnd::NotStarted { reason },
            generated::RunResult::Lost => RunEnd::Lost,
            generated::RunResult::Impossible => RunEnd::Impossible { reason },
        };
        Ok(Self {
            run: required(record.run, "run")?.into(),
            incarnation: Incarnation::new(record.incarnation),
            end,
            peak: record.peak.unwrap_or_default().into(),
        })
    }
}

//! States of a run and the transitions between them.

use displaydoc::Display;

/// An action on a run. While a run is stopping, later variants override earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::EnumIter)]
pub enum RunStep {
    /// Throttle the task.
    Throttle,
    /// Stop throttling the task.
    Release,
    /// Checkpoint the task, then stop it.
    Evict,
    /// Stop the task without a checkpoint.
    Stop,
    /// Stop the task permanently.
    Cancel,
}

/// Speed at which a run may execute.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// Full speed.
    Full,
    /// Throttled.
    Throttled,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter)]
pub enum RunEnd {
    /// The task finished.
    Finished,
    /// The task failed.
    Failed,
    /// The task was checkpointed and evicted.
    Evicted,
    /// The task was stopped without a checkpoint.
    Stopped,
}

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// The run has not started here and never will.
    Tombstoned,
    /// The worker was asked to start the run.
    Starting,
    /// The worker executes the run.
    Running(Pace),
    /// The worker was asked to stop the run.
    Stopping(RunStep),
    /// The run has ended, but no entry has recorded its end yet.
    Ended(RunEnd),
    /// The run has ended and its end is recorded in the log.
    Acknowledged,
    /// The incarnation was recorded as lost, so the run no longer belongs to it.
    Lost,
}

/// An event that changes the state of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEvent {
    /// The worker has started the run.
    Start,
    /// The run is refused before it has started.
    Refuse,
    /// A step against the run was requested.
    Stop(RunStep),
    /// The run has ended.
    End(RunEnd),
    /// An entry has recorded the end of the run.
    Acknowledge,
    /// The incarnation was recorded as lost.
    IncarnationLost,
}

/// the run's state does not allow this transition
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct RunTransitionError;

impl std::error::Error for RunTransitionError {}

impl RunState {
    /// Returns the state after `event`.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if this state does not allow the event.
    pub fn next(self, event: RunEvent) -> Result<Self, RunTransitionError> {
        match (self, event) {
            (Self::Starting, RunEvent::Start) => Ok(Self::Running(Pace::Full)),
            (Self::Starting, RunEvent::Refuse) => Ok(Self::Tombstoned),
            (Self::Starting | Self::Running(_) | Self::Stopping(_), RunEvent::Stop(step)) => {
                Ok(self.step(step))
            }
            (Self::Starting | Self::Running(_) | Self::Stopping(_), RunEvent::End(end)) => {
                Ok(Self::Ended(end))
            }
            (Self::Ended(_), RunEvent::Acknowledge) => Ok(Self::Acknowledged),
            (
                Self::Starting | Self::Running(_) | Self::Stopping(_) | Self::Ended(_),
                RunEvent::IncarnationLost,
            ) => Ok(Self::Lost),
            _ => Err(RunTransitionError),
        }
    }

    /// Returns the state after `step`. A weaker step never overrides a stronger one.
    fn step(self, step: RunStep) -> Self {
        match (self, step) {
            (Self::Running(_), RunStep::Throttle) => Self::Running(Pace::Throttled),
            (Self::Running(_), RunStep::Release) => Self::Running(Pace::Full),
            (Self::Starting | Self::Stopping(_), RunStep::Throttle | RunStep::Release) => self,
            (Self::Stopping(earlier), later) => Self::Stopping(earlier.max(later)),
            (_, step) => Self::Stopping(step),
        }
    }

    /// Whether the worker may still be executing the run.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Starting | Self::Running(_) | Self::Stopping(_))
    }

    /// Whether the end of the run is not known to be recorded.
    pub const fn is_open(self) -> bool {
        self.is_active() || matches!(self, Self::Ended(_))
    }

    /// Whether the run holds resources. An evicted run holds them until its checkpoint is recorded.
    pub const fn holds_resources(self) -> bool {
        self.is_active() || matches!(self, Self::Ended(RunEnd::Evicted))
    }
}

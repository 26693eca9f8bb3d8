//! States of one run and the transitions between them.

use displaydoc::Display;

/// A step against a running task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::EnumIter)]
pub enum RunStep {
    /// Slow it down.
    Throttle,
    /// Take a throttle back.
    Release,
    /// Checkpoint it, then end it.
    Evict,
    /// End it without a checkpoint.
    Stop,
    /// End it for good.
    Cancel,
}

/// How fast a run may go.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pace {
    /// At full speed.
    Full,
    /// Slowed down.
    Throttled,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::EnumIter)]
pub enum RunEnd {
    /// The task is finished.
    Finished,
    /// The task failed.
    Failed,
    /// The task was checkpointed and evicted.
    Evicted,
    /// The task was ended without a checkpoint.
    Stopped,
}

/// State of one run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunState {
    /// It has not started here and never will.
    Tombstoned,
    /// The worker was asked to start it.
    Starting,
    /// The worker runs it.
    Running(Pace),
    /// The worker was asked to end it.
    Stopping(RunStep),
    /// It has ended; no entry has recorded that yet.
    Ended(RunEnd),
    /// It has ended and the log holds its end.
    Acknowledged,
    /// It belongs to others: the incarnation was recorded as lost.
    Lost,
}

/// What can happen to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEvent {
    /// The worker has started it.
    Start,
    /// It is refused before it has started.
    Refuse,
    /// Someone asked for a step against it.
    Stop(RunStep),
    /// It has ended.
    End(RunEnd),
    /// An entry has recorded its end.
    Acknowledge,
    /// The incarnation was recorded as lost.
    IncarnationLost,
}

/// The transition is not open to a run in this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct RunTransitionError;

impl std::error::Error for RunTransitionError {}

impl RunState {
    /// The state after `event`.
    ///
    /// # Errors
    ///
    /// Returns [`RunTransitionError`] if the event is not open to this state.
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

    /// The state after `step`; a weaker step never takes a stronger one back.
    fn step(self, step: RunStep) -> Self {
        match (self, step) {
            (Self::Running(_), RunStep::Throttle) => Self::Running(Pace::Throttled),
            (Self::Running(_), RunStep::Release) => Self::Running(Pace::Full),
            (Self::Starting | Self::Stopping(_), RunStep::Throttle | RunStep::Release) => self,
            (Self::Stopping(earlier), later) => Self::Stopping(earlier.max(later)),
            (_, step) => Self::Stopping(step),
        }
    }

    /// Whether the worker may still be executing it.
    pub const fn is_active(self) -> bool {
        matches!(self, Self::Starting | Self::Running(_) | Self::Stopping(_))
    }

    /// Whether it holds room. An evicted run does until its checkpoint is on record.
    pub const fn holds_resources(self) -> bool {
        self.is_active() || matches!(self, Self::Ended(RunEnd::Evicted))
    }
}

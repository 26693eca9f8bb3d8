//! Translation between the tables' states and the wire's.

use agate_bind::{Pace, RunEnd, RunState, RunStep};
use agate_wire::message::{RunAction, RunResult};

use crate::local::TaskStatus;

/// The step that a message asks for.
pub(crate) const fn step(kind: RunAction) -> RunStep {
    match kind {
        RunAction::Throttle => RunStep::Throttle,
        RunAction::Release => RunStep::Release,
        RunAction::Evict => RunStep::Evict,
        RunAction::Stop => RunStep::Stop,
        RunAction::Cancel => RunStep::Cancel,
    }
}

/// The step in force against a run.
pub(crate) const fn step_in_force(state: RunState) -> Option<RunAction> {
    match state {
        RunState::Running(Pace::Throttled) => Some(RunAction::Throttle),
        RunState::Stopping(RunStep::Evict) => Some(RunAction::Evict),
        RunState::Stopping(RunStep::Cancel) => Some(RunAction::Cancel),
        RunState::Stopping(_) => Some(RunAction::Stop),
        RunState::Tombstoned
        | RunState::Starting
        | RunState::Running(Pace::Full)
        | RunState::Ended(_)
        | RunState::Acknowledged
        | RunState::Lost => None,
    }
}

/// How a task ended, if it has.
pub(crate) fn result(status: TaskStatus) -> Option<RunResult> {
    match status {
        TaskStatus::Running | TaskStatus::Paused => None,
        TaskStatus::Finished => Some(RunResult::Finished),
        TaskStatus::Failed { reason, exhausted } => Some(RunResult::Failed { reason, exhausted }),
        TaskStatus::Checkpointed { checkpoint } => Some(RunResult::Evicted { checkpoint }),
        TaskStatus::Stopped => Some(RunResult::Stopped),
    }
}

/// The end that the table remembers for `result`.
pub(crate) const fn end(result: &RunResult) -> RunEnd {
    match result {
        RunResult::Finished => RunEnd::Finished,
        RunResult::Failed { .. } => RunEnd::Failed,
        RunResult::Evicted { .. } => RunEnd::Evicted,
        RunResult::Stopped | RunResult::NotStarted { .. } => RunEnd::Stopped,
    }
}

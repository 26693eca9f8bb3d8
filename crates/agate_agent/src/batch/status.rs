//! Converts between states of the run table, the wire and the worker.

use agate_bind::{Pace, RunEnd, RunState, RunStep};
use agate_wire::message::{RunAction, RunResult};

use crate::local::TaskStatus;

/// Returns the step that a message requests.
pub(crate) const fn to_run_step(kind: RunAction) -> RunStep {
    match kind {
        RunAction::Throttle => RunStep::Throttle,
        RunAction::Release => RunStep::Release,
        RunAction::Evict => RunStep::Evict,
        RunAction::Stop => RunStep::Stop,
        RunAction::Cancel => RunStep::Cancel,
    }
}

/// Returns the step in force for a run.
pub(crate) const fn active_step(state: RunState) -> Option<RunAction> {
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

/// Returns the result of a task if it has ended.
pub(crate) fn to_result(status: TaskStatus) -> Option<RunResult> {
    match status {
        TaskStatus::Running | TaskStatus::Paused => None,
        TaskStatus::Finished => Some(RunResult::Finished),
        TaskStatus::Failed { reason, exhausted } => Some(RunResult::Failed { reason, exhausted }),
        TaskStatus::Checkpointed { checkpoint } => Some(RunResult::Evicted { checkpoint }),
        TaskStatus::Stopped => Some(RunResult::Stopped),
    }
}

/// Returns the end to store in the run table for `result`.
pub(crate) const fn to_run_end(result: &RunResult) -> RunEnd {
    match result {
        RunResult::Finished => RunEnd::Finished,
        RunResult::Failed { .. } => RunEnd::Failed,
        RunResult::Evicted { .. } => RunEnd::Evicted,
        RunResult::Stopped | RunResult::NotStarted { .. } => RunEnd::Stopped,
    }
}

//! Translation between the tables' states and the wire's.

use agate_bind::{Pace, RunEnd, RunState, RunStep};
use agate_wire::message::{RunResult, StopKind};

use crate::local::TaskStatus;

/// The step that a message asks for.
pub(crate) const fn step(kind: StopKind) -> RunStep {
    match kind {
        StopKind::Throttle => RunStep::Throttle,
        StopKind::Release => RunStep::Release,
        StopKind::Evict => RunStep::Evict,
        StopKind::Stop => RunStep::Stop,
        StopKind::Cancel => RunStep::Cancel,
    }
}

/// The step in force against a run.
pub(crate) const fn step_in_force(state: RunState) -> Option<StopKind> {
    match state {
        RunState::Running(Pace::Throttled) => Some(StopKind::Throttle),
        RunState::Stopping(RunStep::Evict) => Some(StopKind::Evict),
        RunState::Stopping(RunStep::Cancel) => Some(StopKind::Cancel),
        RunState::Stopping(_) => Some(StopKind::Stop),
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

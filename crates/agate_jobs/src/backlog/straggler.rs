//! Tasks that a job waits for.

use crate::table::StepProgress;
use crate::task::TaskKey;

/// The last tasks of a step, as a share of all: one in so many.
const LAST_PART: usize = 5;

/// Part of a job's tasks that is placed in one turn.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Part {
    /// Returned tasks, and the last tasks of a step that has begun.
    Stragglers,
    /// The other tasks.
    Others,
    /// All tasks.
    All,
}

impl Part {
    /// Returns the tasks of a step that belong to this part, out of the `pending` ones.
    pub(crate) fn of(self, step: &StepProgress, mut pending: Vec<TaskKey>) -> Vec<TaskKey> {
        if self == Self::All {
            return pending;
        }
        let is_returned = |task: &TaskKey| step.tasks[task.index as usize].last_run > 0;
        let ends = pending.len() * LAST_PART <= step.tasks.len().max(LAST_PART);
        let begun = pending.len() < step.tasks.len();
        let last = ends && begun;
        let wanted = self == Self::Stragglers;
        pending.retain(|task| (last || is_returned(task)) == wanted);
        pending
    }
}

//! Progress of the tasks of a step.

use crate::record::{EndCause, RunEnd};

/// Progress of one task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskProgress {
    /// Whether it has finished.
    pub done: bool,
    /// Runs that ended as failed.
    pub failures: u32,
    /// The highest run whose end is on record.
    pub last_run: u32,
    /// Checkpoint to continue from; empty if there is none.
    pub checkpoint: String,
    /// The worker on which the last run failed; empty if none has.
    pub failed_on: String,
    /// The run whose end an agent has concluded; an end that its worker has listed goes before it.
    concluded: u32,
}

/// Progress of one step of one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepProgress {
    /// The tasks by index.
    pub tasks: Vec<TaskProgress>,
    /// Number of tasks that have finished.
    pub done: u32,
}

impl StepProgress {
    pub(super) fn new(tasks: u32) -> Self {
        Self {
            tasks: vec![TaskProgress::default(); tasks as usize],
            done: 0,
        }
    }

    /// Whether every task has finished.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Takes the end of a run; a finished run of a gang finishes every member. The first end on
    /// record of a run counts, and only if none of a later run is on record.
    pub(super) fn apply_end(&mut self, end: &RunEnd, gang: bool) {
        let Some(task) = self.tasks.get_mut(end.task.index as usize) else {
            return;
        };
        let listed_after_all = end.run == task.concluded && !end.cause.is_inferred();
        if end.run <= task.last_run && !listed_after_all {
            return;
        }
        task.concluded = if end.cause.is_inferred() { end.run } else { 0 };
        task.last_run = end.run;
        match end.cause {
            EndCause::Done if gang => {
                self.finish_all();
                return;
            }
            EndCause::Done if !task.done => {
                task.done = true;
                self.done += 1;
            }
            EndCause::Failed => {
                task.failures += 1;
                task.failed_on.clone_from(&end.worker);
            }
            _ => {}
        }
        if !end.checkpoint.is_empty() {
            task.checkpoint.clone_from(&end.checkpoint);
        }
    }

    fn finish_all(&mut self) {
        for task in &mut self.tasks {
            task.done = true;
        }
        self.done = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
    }
}

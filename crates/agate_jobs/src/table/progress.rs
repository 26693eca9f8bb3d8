//! Progress of a step's tasks.

use crate::crash::CrashHistory;
use crate::record::{EndCause, RunEnd};

/// Progress of a single task.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskProgress {
    /// Whether the task has finished.
    pub done: bool,
    /// Number of failed runs.
    pub failures: u32,
    /// Highest run whose end has been recorded.
    pub last_run: u32,
    /// Checkpoint to resume from; empty if there is none.
    pub checkpoint: String,
    /// Worker on which the most recent failure occurred; empty if no run has failed.
    pub failed_on: String,
    /// Run time of the runs that count: the one that finished and those that it continued, in
    /// milliseconds.
    pub ran_ms: u64,
    /// Crashes of workers under the task's runs.
    pub crashes: CrashHistory,
    /// Last run if its recorded end is inferred, otherwise zero. An end reported by the worker
    /// overrides an inferred one.
    inferred_run: u32,
}

/// Progress of a step within one occurrence.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct StepProgress {
    /// Tasks by index.
    pub tasks: Vec<TaskProgress>,
    /// Number of finished tasks.
    pub done: u32,
}

impl StepProgress {
    pub(super) fn new(tasks: u32) -> Self {
        Self {
            tasks: vec![TaskProgress::default(); tasks as usize],
            done: 0,
        }
    }

    /// Returns whether all tasks have finished.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns the highest run of any task whose end has been recorded. The members of a gang are bound
    /// with the number after it.
    pub fn last_run(&self) -> u32 {
        self.tasks
            .iter()
            .map(|task| task.last_run)
            .max()
            .unwrap_or(0)
    }

    /// Applies the end of a run. A gang finishes as soon as one of its members does.
    ///
    /// The first recorded end of a run wins, except that an end reported by the worker overrides
    /// an inferred one. Ends of earlier runs are ignored, but for the crashes that they report.
    pub(super) fn apply_end(&mut self, end: &RunEnd, gang: bool) {
        let Some(task) = self.tasks.get_mut(end.task.index as usize) else {
            return;
        };
        if let (Some(crash), false) = (&end.crash, task.done) {
            task.crashes.record(end.run, crash);
        }
        let overrides_inferred = end.run == task.inferred_run && !end.cause.is_inferred();
        if end.run <= task.last_run && !overrides_inferred {
            return;
        }
        if end.crash.is_none() {
            task.crashes.record_end(end.ran_ms);
        }
        task.inferred_run = if end.cause.is_inferred() { end.run } else { 0 };
        task.last_run = end.run;
        if matches!(end.cause, EndCause::Done | EndCause::Stopped) {
            task.ran_ms = task.ran_ms.saturating_add(end.ran_ms);
        }
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

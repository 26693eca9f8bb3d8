//! Progress of a step's tasks.

use crate::crash::CrashHistory;
use crate::record::{EndCause, RunEnd};
use crate::spec::StepSpec;
use crate::table::ended_run::EndedRun;

/// Run time below which a run of a long-running task counts as short, in milliseconds. A task that runs for longer loses
/// less than a third of its time to pauses of up to 2 s.
const SHORT_RUN_MS: u64 = 4_000;

/// What a run that ends [`EndCause::Done`] means for its task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Completion {
    /// The task has finished, and never runs again.
    Finishes,
    /// The task is long-running: it runs again, however a run ends.
    RunsAgain,
}

impl Completion {
    const fn of(step: &StepSpec) -> Self {
        if step.long_running {
            Self::RunsAgain
        } else {
            Self::Finishes
        }
    }
}

/// Progress of a single task. It depends on which ends are recorded and not on their order: an end whose
/// append got no answer is recorded again, and a table that is loaded from the newest record of each key then
/// reads it behind those of later runs.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct TaskProgress {
    /// Whether the task has finished. A long-running task never does.
    pub done: bool,
    /// Whether a run has ended [`EndCause::Done`], which is all that dependent steps wait for.
    pub completed: bool,
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
    /// Number of its last runs, in a row, that ended [`EndCause::Done`] soon after their start.
    pub short_runs: u32,
    /// Crashes of workers under the task's runs.
    pub crashes: CrashHistory,
    /// Runs of which an end is recorded, in ascending order.
    runs: Vec<EndedRun>,
}

impl TaskProgress {
    /// Returns the number of runs that ended with a crash of their worker.
    pub(super) fn crashed_runs(&self) -> usize {
        self.runs.iter().filter(|run| run.crash.is_some()).count()
    }

    /// Returns whether a run before the given one has finished the task.
    pub(super) fn has_finished_before(&self, run: u32) -> bool {
        let mut earlier = self.runs.iter().take_while(|known| known.run < run);
        earlier.any(|known| known.cause == EndCause::Done)
    }

    fn record(&mut self, end: &RunEnd, completion: Completion) {
        match self.runs.binary_search_by_key(&end.run, |run| run.run) {
            Ok(at) => self.runs[at].merge(end),
            Err(at) => {
                // Most tasks have a single run.
                self.runs.reserve_exact(1);
                self.runs.insert(at, EndedRun::new(end));
            }
        }
        self.update();
        self.done = self.completed && completion == Completion::Finishes;
    }

    /// Derives the progress from the ends of all runs.
    fn update(&mut self) {
        self.failures = 0;
        self.failed_on.clear();
        self.checkpoint.clear();
        self.ran_ms = 0;
        self.short_runs = 0;
        self.crashes = CrashHistory::default();
        for run in &self.runs {
            self.last_run = run.run;
            self.short_runs = if run.cause == EndCause::Done && run.ran_ms < SHORT_RUN_MS {
                self.short_runs.saturating_add(1)
            } else {
                0
            };
            match &run.crash {
                Some(crash) => self.crashes.record(run.run, crash),
                None => self.crashes.record_end(run.ran_ms),
            }
            match run.cause {
                EndCause::Done => self.completed = true,
                EndCause::Failed => {
                    self.failures += 1;
                    self.failed_on.clone_from(&run.failed_on);
                }
                _ => {}
            }
            if matches!(run.cause, EndCause::Done | EndCause::Stopped) {
                self.ran_ms = self.ran_ms.saturating_add(run.ran_ms);
            }
            if !run.checkpoint.is_empty() {
                self.checkpoint.clone_from(&run.checkpoint);
            }
        }
    }
}

/// Progress of a step within one occurrence.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StepProgress {
    /// Tasks by index.
    pub tasks: Vec<TaskProgress>,
    /// Number of finished tasks.
    pub done: u32,
    completion: Completion,
}

impl StepProgress {
    pub(super) fn new(step: &StepSpec) -> Self {
        Self {
            tasks: vec![TaskProgress::default(); step.tasks as usize],
            done: 0,
            completion: Completion::of(step),
        }
    }

    /// Returns whether all tasks have finished.
    pub fn is_done(&self) -> bool {
        self.done as usize == self.tasks.len()
    }

    /// Returns whether the steps that depend on this one may start: a run of each task has ended
    /// [`EndCause::Done`], also if the tasks are long-running.
    pub fn is_completed(&self) -> bool {
        match self.completion {
            Completion::Finishes => self.is_done(),
            Completion::RunsAgain => self.tasks.iter().all(|task| task.completed),
        }
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
    pub(super) fn apply_end(&mut self, end: &RunEnd, gang: bool) {
        let Some(task) = self.tasks.get_mut(end.task.index as usize) else {
            return;
        };
        let was_completed = task.completed;
        task.record(end, self.completion);
        if !task.completed || was_completed {
            return;
        }
        if gang {
            self.complete_all();
        } else if task.done {
            self.done += 1;
        }
    }

    fn complete_all(&mut self) {
        let finishes = self.completion == Completion::Finishes;
        for task in &mut self.tasks {
            task.completed = true;
            task.done = finishes;
        }
        if finishes {
            self.done = u32::try_from(self.tasks.len()).unwrap_or(u32::MAX);
        }
    }
}

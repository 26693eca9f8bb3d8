//! A single job.

use crate::crash::Attribution;
use crate::record::RunEnd;
use crate::spec::{JobSpec, QueuePolicy, StepSpec};
use crate::table::{JobState, StepProgress, TaskProgress};
use crate::task::TaskKey;

/// Most numbers by which a run exceeds the last ended one. Runs of a task are numbered one by one, but
/// ends that are recorded again move behind those of later runs.
const MAX_RUN_DISTANCE: u32 = 1_000;

/// Returns whether there may be a run of this number after the last ended one.
pub(crate) const fn follows(run: u32, last_run: u32) -> bool {
    0 < run && run <= last_run.saturating_add(MAX_RUN_DISTANCE)
}

/// A job and its progress.
#[derive(Debug, Clone)]
pub struct Job {
    /// Specification as submitted.
    pub spec: JobSpec,
    /// Policy of the queue at the time of acceptance.
    pub policy: QueuePolicy,
    /// Time of acceptance by the entry's wall clock, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether the job was cancelled.
    pub cancelled: bool,
    /// Whether a task has started.
    pub started: bool,
    /// Progress by occurrence and step.
    pub progress: Vec<Vec<StepProgress>>,
    /// Number of its runs that ended with a crash of their worker.
    pub crashed_runs: usize,
    failing_tasks: usize,
    open_steps: usize,
}

impl Job {
    pub(super) fn new(spec: JobSpec, policy: QueuePolicy, at_ms: u64) -> Self {
        let occurrence = |_| {
            let steps = spec.steps.iter();
            steps.map(StepProgress::new).collect()
        };
        let progress: Vec<Vec<StepProgress>> = (0..spec.occurrences()).map(occurrence).collect();
        let open_steps = progress.iter().flatten().filter(|s| !s.is_done()).count();
        Self {
            spec,
            policy,
            at_ms,
            cancelled: false,
            started: false,
            progress,
            crashed_runs: 0,
            failing_tasks: 0,
            open_steps,
        }
    }

    /// Returns the job's state. A cancelled job stays cancelled regardless of how its tasks end.
    pub fn state(&self) -> JobState {
        if self.cancelled {
            return JobState::Cancelled;
        }
        if self.failing_tasks > 0 {
            return JobState::Failed;
        }
        if self.open_steps == 0 {
            return JobState::Completed;
        }
        if self.started {
            JobState::Running
        } else {
            JobState::Queued
        }
    }

    /// Returns the step that a task belongs to.
    pub fn step(&self, task: TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(task.step as usize)
    }

    /// Returns the progress of the step that a task belongs to.
    pub fn step_progress(&self, task: TaskKey) -> Option<&StepProgress> {
        let steps = self.progress.get(task.occurrence as usize)?;
        steps.get(task.step as usize)
    }

    /// Returns whether a run of a task before the given one has finished it.
    pub(crate) fn has_finished_before(&self, task: TaskKey, run: u32) -> bool {
        if self.is_long_running(task) {
            return false;
        }
        let step = self.step_progress(task);
        let progress = step.and_then(|step| step.tasks.get(task.index as usize));
        progress.is_some_and(|progress| progress.has_finished_before(run))
    }

    /// Returns whether a task is long-running, so that it runs again however its runs end.
    pub(crate) fn is_long_running(&self, task: TaskKey) -> bool {
        self.step(task).is_some_and(|step| step.long_running)
    }

    /// Returns whether all dependencies of `step` have been completed.
    pub fn is_ready(&self, occurrence: usize, step: usize) -> bool {
        let Some(progress) = self.progress.get(occurrence) else {
            return false;
        };
        let after = self.spec.steps[step].after.iter();
        after.copied().all(|earlier| {
            let earlier = progress.get(earlier as usize);
            earlier.is_some_and(StepProgress::is_completed)
        })
    }

    /// Returns the critical path over the unfinished steps of the first occurrence, in
    /// milliseconds of estimated run time.
    pub fn remaining_ms(&self) -> u64 {
        let Some(progress) = self.progress.first() else {
            return 0;
        };
        let is_open = |at: usize| progress.get(at).is_some_and(|step| !step.is_done());
        self.spec.critical_path_over(is_open)
    }

    /// Returns the time within which the job should finish, in milliseconds.
    pub fn allowed_ms(&self) -> u64 {
        let path_ms = self.spec.critical_path_ms();
        let stretched_ms = path_ms.saturating_mul(self.policy.stretch_milli) / 1_000;
        self.policy.slack_ms.saturating_add(stretched_ms)
    }

    /// Checks that the run of an end may have been bound.
    pub(super) fn check_end(&self, end: &RunEnd) -> Result<(), &'static str> {
        let spec = self.step(end.task).ok_or("its job has no such step")?;
        let step = self.step_progress(end.task);
        let step = step.ok_or("its job has no such occurrence")?;
        let index = end.task.index as usize;
        let task = step.tasks.get(index).ok_or("its step has no such task")?;
        let last_run = if spec.gang {
            step.last_run()
        } else {
            task.last_run
        };
        if follows(end.run, last_run) {
            Ok(())
        } else {
            Err("no run of its task can have that number")
        }
    }

    pub(super) fn apply_end(&mut self, end: &RunEnd) {
        let Some(spec) = self.spec.steps.get(end.task.step as usize) else {
            return;
        };
        let steps = self.progress.get_mut(end.task.occurrence as usize);
        let Some(step) = steps.and_then(|steps| steps.get_mut(end.task.step as usize)) else {
            return;
        };
        let max_attempts = self.policy.max_attempts.max(1);
        let is_failing = |task: &TaskProgress| {
            let is_exhausted = !spec.long_running && task.failures >= max_attempts;
            !task.done && (is_exhausted || task.crashes.attribution() == Attribution::AtFault)
        };
        // The end of a gang's member may finish all others.
        let index = end.task.index as usize;
        let changing = if spec.gang {
            0..step.tasks.len()
        } else {
            index..index.saturating_add(1)
        };
        let failing = |step: &StepProgress| {
            let tasks = step.tasks.get(changing.clone()).unwrap_or_default();
            tasks.iter().filter(|task| is_failing(task)).count()
        };
        let crashed_runs =
            |step: &StepProgress| step.tasks.get(index).map_or(0, TaskProgress::crashed_runs);
        let (was_done, old_failing, old_crashed) =
            (step.is_done(), failing(step), crashed_runs(step));
        step.apply_end(end, spec.gang);
        if end.ran_ms > 0 {
            self.started = true;
        }
        if !was_done && step.is_done() {
            self.open_steps -= 1;
        }
        // A task that seemed to have failed is done if one of its runs turns out to have finished.
        self.failing_tasks = self.failing_tasks + failing(step) - old_failing;
        self.crashed_runs = self.crashed_runs + crashed_runs(step) - old_crashed;
    }
}

//! One job.

use crate::record::RunEnd;
use crate::spec::{JobSpec, QueuePolicy, StepSpec};
use crate::table::{JobState, StepProgress};
use crate::task::TaskKey;

/// A job that is on record.
#[derive(Debug, Clone)]
pub struct Job {
    /// What it consists of.
    pub spec: JobSpec,
    /// What its queue fixed.
    pub policy: QueuePolicy,
    /// Wall clock of the accepting entry in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Whether it was cancelled.
    pub cancelled: bool,
    /// Whether a first task has been started.
    pub started: bool,
    /// Progress by occurrence and step.
    pub progress: Vec<Vec<StepProgress>>,
    failed: bool,
    open_steps: usize,
}

impl Job {
    pub(super) fn new(spec: JobSpec, policy: QueuePolicy, at_ms: u64) -> Self {
        let occurrence = |_| {
            let steps = spec.steps.iter();
            steps.map(|step| StepProgress::new(step.tasks)).collect()
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
            failed: false,
            open_steps,
        }
    }

    /// Its state. A cancelled job stays cancelled, whatever its tasks come to.
    pub fn state(&self) -> JobState {
        if self.cancelled {
            return JobState::Cancelled;
        }
        if self.failed {
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

    /// The step of a task.
    pub fn step(&self, task: TaskKey) -> Option<&StepSpec> {
        self.spec.steps.get(task.step as usize)
    }

    /// Progress of the step of a task.
    pub fn step_progress(&self, task: TaskKey) -> Option<&StepProgress> {
        let steps = self.progress.get(task.occurrence as usize)?;
        steps.get(task.step as usize)
    }

    /// Whether every step that `step` waits for has finished.
    pub fn is_ready(&self, occurrence: usize, step: usize) -> bool {
        let Some(progress) = self.progress.get(occurrence) else {
            return false;
        };
        let after = self.spec.steps[step].after.iter();
        after.copied().all(|earlier| {
            let earlier = progress.get(earlier as usize);
            earlier.is_some_and(StepProgress::is_done)
        })
    }

    /// Longest chain of estimated run times over the steps of the first occurrence that have not
    /// finished, in milliseconds.
    pub fn remaining_ms(&self) -> u64 {
        let Some(progress) = self.progress.first() else {
            return 0;
        };
        let is_open = |at: usize| progress.get(at).is_some_and(|step| !step.is_done());
        self.spec.critical_path_over(is_open)
    }

    pub(super) fn apply_end(&mut self, end: &RunEnd) {
        let Some(spec) = self.spec.steps.get(end.task.step as usize) else {
            return;
        };
        let steps = self.progress.get_mut(end.task.occurrence as usize);
        let Some(step) = steps.and_then(|steps| steps.get_mut(end.task.step as usize)) else {
            return;
        };
        let was_done = step.is_done();
        step.apply_end(end, spec.gang);
        if end.ran_ms > 0 {
            self.started = true;
        }
        if !was_done && step.is_done() && !spec.long_running {
            self.open_steps -= 1;
        }
        let max_attempts = self.policy.max_attempts.max(1);
        let exhausted =
            |task: &crate::table::TaskProgress| !task.done && task.failures >= max_attempts;
        if !spec.long_running && step.tasks.iter().any(exhausted) {
            self.failed = true;
        }
    }
}

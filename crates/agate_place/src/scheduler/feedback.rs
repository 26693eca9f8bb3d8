//! What became of placements and runs.

use std::time::Duration;

use agate_core::{Incarnation, Moment, Resources, TaskId};

use super::run::Run;
use super::{Disposition, GiveUpReason, RunOutcome, Scheduler};
use crate::amount;
use crate::blame::MAX_ATTEMPT_FACTOR;
use crate::impossible::Feasibility;
use crate::queue::JobKey;
use crate::sizing::{RunUsage, grow_memory};

/// Wait before a task that failed once runs again; it doubles with each failure.
const RETRY: Duration = Duration::from_secs(1);

/// Most doublings of that wait.
const MAX_DOUBLINGS: u32 = 6;

/// Runs of one job that ran out of memory from which its class learns. A job that always does must
/// not raise the size of all others.
const EXHAUSTED_SAMPLES: u32 = 3;

/// Runs of one job that ran out of memory before all its tasks get more.
const EXHAUSTED_RUNS: u32 = 2;

impl Scheduler {
    /// Notes that a placed task has started.
    pub fn started(&mut self, now: Moment, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.saved = now;
        }
    }

    /// Notes that a worker refused a placed task, or that its binding did not count: the task never
    /// ran. `held` is what the worker's agent says its runs hold, if it said so.
    pub fn refused(&mut self, now: Moment, task: TaskId, held: Option<Resources>) -> Disposition {
        let worker = self.runs.get(&task).map(|run| run.worker);
        let ended = self.ended(now, task, RunOutcome::NotStarted, Resources::ZERO);
        if let (Some(worker), Some(held)) = (worker, held) {
            self.workers.report_held(worker, held);
        }
        ended
    }

    /// Notes that a running task was checkpointed and goes on.
    pub fn checkpointed(&mut self, now: Moment, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.saved = now;
        }
    }

    /// Notes a lagging reading of what a run uses.
    pub fn observe_usage(&mut self, task: TaskId, used: Resources) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.peak = run.peak.max(used);
        }
    }

    /// Notes that a run ended; `peak` is the most that it used.
    pub fn ended(
        &mut self,
        now: Moment,
        task: TaskId,
        end: RunOutcome,
        peak: Resources,
    ) -> Disposition {
        let Some(mut run) = self.free(now, task) else {
            return Disposition::Unknown;
        };
        run.peak = run.peak.max(peak);
        let job = run.job.or_else(|| self.queue.job(task.job));
        let Some(job) = job.filter(|&job| self.queue.id(job).is_some()) else {
            return Disposition::Unknown;
        };
        match end {
            RunOutcome::Finished => self.finished(now, task, job, &run),
            RunOutcome::Failed => self.failed(now, task, job, &run),
            RunOutcome::Exhausted => self.exhausted(now, task, job, &run),
            RunOutcome::Evicted | RunOutcome::Stopped => {
                self.troubles.entry(task).or_default().evictions += 1;
                self.again(now, task, job, RETRY)
            }
            RunOutcome::NotStarted | RunOutcome::Lost => self.again(now, task, job, Duration::ZERO),
        }
    }

    fn finished(&mut self, now: Moment, task: TaskId, job: JobKey, run: &Run) -> Disposition {
        self.observe(now, run);
        if let Some(growth) = self.growths.get_mut(job) {
            growth.finished += 1;
        }
        self.failure_tracker
            .record_success(run.worker, job, &self.policy.placement);
        self.refresh_trust(run.worker);
        self.finish_task(task);
        Disposition::Done
    }

    fn failed(&mut self, now: Moment, task: TaskId, job: JobKey, run: &Run) -> Disposition {
        let policy = self.policy.placement;
        let known = self.workers.len();
        self.failure_tracker
            .record_failure(now, run.worker, job, known, &policy);
        for worker in self.failure_tracker.failed_on(job).to_vec() {
            self.refresh_trust(worker);
        }
        self.refresh_trust(run.worker);
        let trouble = self.troubles.entry(task).or_default();
        trouble.failures += 1;
        if !trouble.failed_on.contains(&run.worker) {
            trouble.failed_on.push(run.worker);
        }
        let (failures, failed_on) = (trouble.failures, trouble.failed_on.clone());
        if self.failure_tracker.should_give_up_job(job, known, &policy) {
            return self.give_up_job(task, job);
        }
        let has_used_attempts = failures >= policy.attempts;
        let is_work_at_fault = has_used_attempts
            && self
                .failure_tracker
                .is_work_at_fault(&failed_on, known, &policy);
        if is_work_at_fault || failures >= policy.attempts * MAX_ATTEMPT_FACTOR {
            let workers = amount::count(failed_on.len());
            self.give_up(
                task.job,
                Some(task),
                GiveUpReason::FailsEverywhere { workers },
            );
            return Disposition::GivenUp;
        }
        let doublings = (failures - 1).min(MAX_DOUBLINGS);
        self.again(now, task, job, RETRY * 2_u32.pow(doublings))
    }

    fn give_up_job(&mut self, task: TaskId, job: JobKey) -> Disposition {
        let workers = amount::count(self.failure_tracker.failed_on(job).len());
        self.give_up(task.job, None, GiveUpReason::FailsEverywhere { workers });
        Disposition::GivenUp
    }

    fn exhausted(&mut self, now: Moment, task: TaskId, job: JobKey, run: &Run) -> Disposition {
        let next = grow_memory(run.demand);
        let verdict = self.workers.sizes().check_after_oom(now, run.demand);
        if let Some(entry) = self.growths.entry(job) {
            let growth = entry.or_default();
            growth.exhausted += 1;
            if growth.exhausted >= EXHAUSTED_RUNS {
                growth.floor = growth.floor.max(next);
            }
        }
        let growth = &self.growths[job];
        let (exhausted, finished) = (growth.exhausted, growth.finished);
        if let Feasibility::Impossible(reason) = verdict {
            let only = (finished > 0).then_some(task);
            self.give_up(task.job, only, GiveUpReason::Impossible(reason));
            return Disposition::GivenUp;
        }
        if exhausted <= EXHAUSTED_SAMPLES {
            self.observe(now, run);
        }
        let trouble = self.troubles.entry(task).or_default();
        trouble.floor = trouble.floor.max(next);
        self.again(now, task, job, Duration::ZERO)
    }

    fn observe(&mut self, now: Moment, run: &Run) {
        // A run that ended before its use was read says nothing of its size.
        if run.peak.is_zero() {
            return;
        }
        let usage = RunUsage {
            declared: run.declared,
            given: run.demand,
            peak: run.peak,
        };
        self.sizing.observe(now, run.class, usage);
    }

    /// Puts a task back into the queue after `wait`, unless its job was queued while it ran: then
    /// the queue has never held it.
    fn again(&mut self, now: Moment, task: TaskId, job: JobKey, wait: Duration) -> Disposition {
        let held = if wait.is_zero() {
            self.queue.requeue(job, task.index)
        } else {
            self.queue.requeue_at(job, task.index, now + wait)
        };
        if held {
            Disposition::Retry(now + wait)
        } else {
            Disposition::Unknown
        }
    }

    /// The worker that a placed or running task is on.
    pub fn worker_of(&self, task: TaskId) -> Option<Incarnation> {
        let run = self.runs.get(&task)?;
        self.workers.get(run.worker).map(|worker| worker.id)
    }
}

//! Handles the results of placements and runs.

use std::time::Duration;

use agate_core::{Incarnation, Moment, Resources, TaskId};

use super::run::Run;
use super::{Disposition, GiveUpReason, RunOutcome, Scheduler};
use crate::amount;
use crate::blame::MAX_ATTEMPT_FACTOR;
use crate::impossible::Feasibility;
use crate::queue::JobKey;
use crate::sizing::{RunUsage, grow_memory};

/// Backoff after the first failure of a task; it doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_secs(1);

/// Maximum number of doublings of the backoff.
const MAX_DOUBLINGS: u32 = 6;

/// Number of out-of-memory runs per job that the class learns from. A job that always runs out of
/// memory must not raise the size of all others.
const MAX_OOM_SAMPLES: u32 = 3;

/// Number of out-of-memory runs of one job after which all its tasks get more memory.
const OOM_RUNS_BEFORE_GROWTH: u32 = 2;

impl Scheduler {
    /// Records that a placed task has started.
    pub fn started(&mut self, now: Moment, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.last_checkpoint = now;
        }
    }

    /// Records that a worker refused a placed task or that its binding was void, so the task never
    /// ran. `held` is what the worker's agent reports as held by its runs, if known.
    pub fn refused(&mut self, now: Moment, task: TaskId, held: Option<Resources>) -> Disposition {
        let worker = self.runs.get(&task).map(|run| run.worker);
        let disposition = self.ended(now, task, RunOutcome::NotStarted, Resources::ZERO);
        if let (Some(worker), Some(held)) = (worker, held) {
            self.workers.report_held(worker, held);
        }
        disposition
    }

    /// Records that a running task was checkpointed and continues.
    pub fn checkpointed(&mut self, now: Moment, task: TaskId) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.last_checkpoint = now;
        }
    }

    /// Records a lagging reading of a run's usage.
    pub fn observe_usage(&mut self, task: TaskId, used: Resources) {
        if let Some(run) = self.runs.get_mut(&task) {
            run.peak = run.peak.max(used);
        }
    }

    /// Records that a run ended. `peak` is its peak usage.
    pub fn ended(
        &mut self,
        now: Moment,
        task: TaskId,
        outcome: RunOutcome,
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
        match outcome {
            RunOutcome::Finished => self.finished(now, task, job, &run),
            RunOutcome::Failed => self.failed(now, task, job, &run),
            RunOutcome::Exhausted => self.exhausted(now, task, job, &run),
            RunOutcome::Evicted | RunOutcome::Stopped => {
                self.task_histories.entry(task).or_default().evictions += 1;
                self.retry(now, task, job, INITIAL_BACKOFF)
            }
            RunOutcome::NotStarted | RunOutcome::Lost => self.retry(now, task, job, Duration::ZERO),
        }
    }

    fn finished(&mut self, now: Moment, task: TaskId, job: JobKey, run: &Run) -> Disposition {
        self.observe(now, run);
        if let Some(oom) = self.oom_histories.get_mut(job) {
            oom.finished += 1;
        }
        let policy = &self.policy.placement;
        if self.workers.get(run.worker).is_some() {
            self.failure_tracker.record_success(run.worker, job, policy);
        } else {
            self.failure_tracker.record_job_success(job);
        }
        self.refresh_trust(run.worker);
        self.finish_task(task);
        Disposition::Done
    }

    fn failed(&mut self, now: Moment, task: TaskId, job: JobKey, run: &Run) -> Disposition {
        let policy = self.policy.placement;
        let worker_count = self.workers.len();
        if self.workers.get(run.worker).is_some() {
            self.failure_tracker
                .record_failure(now, run.worker, job, worker_count, &policy);
        } else {
            self.failure_tracker
                .record_job_failure(now, run.worker, job, &policy);
        }
        for worker in self.failure_tracker.failed_on(job).to_vec() {
            self.refresh_trust(worker);
        }
        self.refresh_trust(run.worker);
        let history = self.task_histories.entry(task).or_default();
        history.failures += 1;
        if !history.failed_on.contains(&run.worker) {
            history.failed_on.push(run.worker);
        }
        let (failures, failed_on) = (history.failures, history.failed_on.clone());
        if self
            .failure_tracker
            .should_give_up_job(job, worker_count, &policy)
        {
            return self.give_up_job(task, job);
        }
        let has_used_attempts = failures >= policy.attempts;
        let is_work_at_fault = has_used_attempts
            && self
                .failure_tracker
                .is_work_at_fault(&failed_on, worker_count, &policy);
        if is_work_at_fault || failures >= policy.attempts * MAX_ATTEMPT_FACTOR {
            let workers = amount::saturating_u32(failed_on.len());
            self.give_up(
                task.job,
                Some(task),
                GiveUpReason::FailsEverywhere { workers },
            );
            return Disposition::GivenUp;
        }
        let doublings = (failures - 1).min(MAX_DOUBLINGS);
        self.retry(now, task, job, INITIAL_BACKOFF * 2_u32.pow(doublings))
    }

    fn give_up_job(&mut self, task: TaskId, job: JobKey) -> Disposition {
        let workers = amount::saturating_u32(self.failure_tracker.failed_on(job).len());
        self.give_up(task.job, None, GiveUpReason::FailsEverywhere { workers });
        Disposition::GivenUp
    }

    fn exhausted(&mut self, now: Moment, task: TaskId, job: JobKey, run: &Run) -> Disposition {
        let next = grow_memory(run.demand);
        let feasibility = self.workers.sizes().check_after_oom(now, run.demand);
        if let Some(entry) = self.oom_histories.entry(job) {
            let oom = entry.or_default();
            oom.exhausted += 1;
            if oom.exhausted >= OOM_RUNS_BEFORE_GROWTH {
                oom.floor = oom.floor.max(next);
            }
        }
        let oom = &self.oom_histories[job];
        let (exhausted, finished) = (oom.exhausted, oom.finished);
        if let Feasibility::Impossible(reason) = feasibility {
            let only = (finished > 0).then_some(task);
            self.give_up(task.job, only, GiveUpReason::Impossible(reason));
            return Disposition::GivenUp;
        }
        if exhausted <= MAX_OOM_SAMPLES {
            self.observe(now, run);
        }
        let history = self.task_histories.entry(task).or_default();
        history.floor = history.floor.max(next);
        self.retry(now, task, job, Duration::ZERO)
    }

    fn observe(&mut self, now: Moment, run: &Run) {
        // Without a usage reading, the run provides no information on its size.
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

    /// Requeues a task after `wait`. Returns `Unknown` if the queue has never held the task,
    /// because its job was queued while the task ran.
    fn retry(&mut self, now: Moment, task: TaskId, job: JobKey, wait: Duration) -> Disposition {
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

    /// Returns the worker of a placed or running task.
    pub fn worker_of(&self, task: TaskId) -> Option<Incarnation> {
        let run = self.runs.get(&task)?;
        self.workers.get(run.worker).map(|worker| worker.id)
    }
}

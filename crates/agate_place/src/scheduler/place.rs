//! Placement of the next task.

use agate_core::{Moment, Resources, TaskId};
use rand::Rng;

use super::holds::Held;
use super::run::{Restraint, Run};
use super::{GiveUpReason, Placement, Scheduler};
use crate::choose::{NoWorker, PlacementRequest, choose};
use crate::impossible::{Feasibility, Reason};
use crate::queue::{Head, Peek};
use crate::workers::{Allocation, WorkerKey};

/// Maximum number of jobs checked per call.
const JOBS_PER_CALL: usize = 16;

/// Result of trying to place the job at the head of the queue.
enum Attempt {
    Placed(Placement),
    Skipped,
}

impl Scheduler {
    /// Places the next task and allocates resources for it. The caller must report the result with
    /// [`Self::started`], [`Self::refused`] or [`Self::ended`].
    pub fn next(&mut self, now: Moment, rng: &mut impl Rng) -> Option<Placement> {
        self.has_more = false;
        self.unblock_due(now);
        self.open_due_probes(now);
        self.end_due_trials(now);
        for _ in 0..JOBS_PER_CALL {
            let head = match self.queue.peek(now) {
                Peek::Ready(head) => head,
                Peek::Empty => return None,
                Peek::Retry => break,
            };
            match self.try_place(now, &head, rng) {
                Attempt::Placed(placement) => return Some(placement),
                Attempt::Skipped => {}
            }
        }
        self.has_more = true;
        None
    }

    fn try_place(&mut self, now: Moment, head: &Head, rng: &mut impl Rng) -> Attempt {
        let Some(demand) = self.demand(now, head) else {
            return Attempt::Skipped;
        };
        if self.queue.exceeds_quota(head.team, demand) {
            self.wait_for_quota(now, head, demand);
            return Attempt::Skipped;
        }
        let policy = &self.policy.placement;
        if !self
            .failure_tracker
            .may_start(now, head.key, head.taken, policy)
        {
            self.defer(now, head.key);
            return Attempt::Skipped;
        }
        match self.find_worker(now, head, demand, rng) {
            Ok(worker) => self.place(now, head, demand, worker),
            Err(NoWorker::NoRoom) => {
                self.block_for_capacity(now, head, demand, rng);
                Attempt::Skipped
            }
            Err(NoWorker::SlowsUrgent) => {
                self.block(now, head.key, demand);
                Attempt::Skipped
            }
        }
    }

    /// Returns the resources for the next task of a job, or `None` if the job was given up or
    /// deferred.
    fn demand(&mut self, now: Moment, head: &Head) -> Option<Resources> {
        let needed = self
            .sizing
            .demand(now, head.class, head.declared, Resources::ZERO);
        let sizes = self.workers.sizes();
        match sizes.check_either(now, needed, head.declared) {
            Feasibility::Possible => Some(sizes.clamp(needed.max(self.floor(head)))),
            Feasibility::Undecided => {
                self.defer(now, head.key);
                None
            }
            Feasibility::Impossible(reason) => {
                self.give_up(head.task.job, None, GiveUpReason::Impossible(reason));
                None
            }
        }
    }

    /// Returns the minimum size known from earlier out-of-memory runs of the task or its job.
    fn floor(&self, head: &Head) -> Resources {
        let history = self.task_histories.get(&head.task);
        let oom = self.oom_histories.get(head.key);
        let task = history.map_or(Resources::ZERO, |t| t.floor);
        let job = oom.map_or(Resources::ZERO, |g| g.floor);
        task.max(job)
    }

    fn wait_for_quota(&mut self, now: Moment, head: &Head, demand: Resources) {
        if !self.queue.held(head.team).is_zero() {
            self.drop_reservation(head.key);
            if let Some(until) = self.hold_until(now, Held::Team(head.team), head.key) {
                self.queue.cap(head.team);
                self.cap_times.insert((until, head.team));
            } else {
                self.block_for_quota(now, head, demand);
            }
            return;
        }
        if self.workers.sizes().is_stable(now) {
            let reason = Reason::OverQuota { needed: demand };
            self.give_up(head.task.job, None, GiveUpReason::Impossible(reason));
        } else {
            self.defer(now, head.key);
        }
    }

    fn find_worker(
        &mut self,
        now: Moment,
        head: &Head,
        demand: Resources,
        rng: &mut impl Rng,
    ) -> Result<WorkerKey, NoWorker> {
        if let Some(key) = self.reservation(head.key) {
            let worker = self.workers.get(key);
            if worker.is_some_and(|w| demand.fits_in(w.available())) {
                return Ok(key);
            }
        }
        let history = self.task_histories.get(&head.task);
        let request = PlacementRequest {
            class: head.class,
            demand,
            avoid: history.map_or(&[], |t| &t.failed_on),
        };
        let rules = self.policy.rules();
        choose(now, request, &self.workers, &self.model, &rules, rng)
    }

    fn place(&mut self, now: Moment, head: &Head, demand: Resources, key: WorkerKey) -> Attempt {
        let Some(worker) = self.workers.get(key) else {
            return Attempt::Skipped;
        };
        let (id, share) = (worker.id, worker.share(demand));
        let Some(task) = self.queue.take(now, head.key) else {
            return Attempt::Skipped;
        };
        self.failure_tracker.record_start(now, head.key);
        self.waiting_since.remove(head.key);
        self.drop_reservation(head.key);
        let run = Run {
            job: Some(head.key),
            team: head.team,
            class: head.class,
            worker: key,
            declared: head.declared,
            demand,
            last_checkpoint: now,
            restraint: Restraint::Free,
            peak: Resources::ZERO,
            share,
        };
        self.allocate(now, task, run);
        Attempt::Placed(Placement {
            task,
            worker: id,
            demand,
        })
    }

    /// Allocates resources for a run.
    pub(super) fn allocate(&mut self, now: Moment, task: TaskId, run: Run) {
        let allocation = Allocation {
            task,
            class: run.class,
            amount: run.demand,
        };
        self.queue.charge(run.team, run.demand);
        self.workers.allocate(now, run.worker, allocation);
        self.start_trial(now, run.worker, task);
        self.refresh_admission(run.worker);
        self.runs.insert(task, run);
    }

    /// Frees the resources of a run.
    pub(super) fn free(&mut self, now: Moment, task: TaskId) -> Option<Run> {
        let run = self.runs.remove(&task)?;
        let allocation = Allocation {
            task,
            class: run.class,
            amount: run.demand,
        };
        self.queue.release(run.team, run.demand);
        self.workers.free(now, run.worker, allocation, run.share);
        if let Restraint::Evicting(_) = run.restraint {
            self.evicting -= 1;
            if let Some(monitor) = self.monitors.get_mut(run.worker) {
                monitor.evicting -= 1;
            }
        }
        self.end_trial(run.worker, task);
        self.refresh_admission(run.worker);
        self.unblock_fitting(run.worker);
        self.unblock_within_quota(run.team);
        if let Some(job) = run.job {
            self.unblock(job);
        }
        Some(run)
    }
}

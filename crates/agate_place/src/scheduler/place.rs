//! The next placement.

use agate_core::{Moment, Resources, TaskId};
use rand::Rng;

use super::run::{Restraint, Run};
use super::{GiveUpReason, Placement, Scheduler};
use crate::choose::{NoWorker, PlacementRequest, choose};
use crate::impossible::{Feasibility, Reason};
use crate::queue::{Head, Peek};
use crate::workers::{Allocation, WorkerKey};

/// Jobs looked at in one call.
const HEADS_PER_CALL: usize = 16;

/// Runs at once of a job that has failed and never succeeded.
const DOUBTFUL_RUNS: u64 = 2;

/// What was found out about the job whose turn it is.
enum Turn {
    Placed(Placement),
    Passed,
}

impl Scheduler {
    /// Places the next task and sets room aside for it. The caller reports with
    /// [`Self::started`], [`Self::refused`] or [`Self::ended`] what became of it.
    pub fn next(&mut self, now: Moment, rng: &mut impl Rng) -> Option<Placement> {
        self.unfinished = false;
        self.unblock_due(now);
        self.open_probes(now);
        for _ in 0..HEADS_PER_CALL {
            let head = match self.queue.peek(now) {
                Peek::Ready(head) => head,
                Peek::Empty => return None,
                Peek::Retry => break,
            };
            match self.take_turn(now, &head, rng) {
                Turn::Placed(placement) => return Some(placement),
                Turn::Passed => {}
            }
        }
        self.unfinished = true;
        None
    }

    fn take_turn(&mut self, now: Moment, head: &Head, rng: &mut impl Rng) -> Turn {
        let Some(demand) = self.demand(now, head) else {
            return Turn::Passed;
        };
        if self.queue.exceeds_quota(head.team, demand) {
            self.wait_for_quota(now, head, demand);
            return Turn::Passed;
        }
        if let Some(until) = self.failure_tracker.backoff_until(head.key)
            && (head.taken >= DOUBTFUL_RUNS || now < until)
        {
            self.defer(now, head.key);
            return Turn::Passed;
        }
        match self.find_worker(now, head, demand, rng) {
            Ok(worker) => self.place(now, head, demand, worker),
            Err(NoWorker::NoRoom) => {
                self.block_for_room(now, head, demand, rng);
                Turn::Passed
            }
            Err(NoWorker::SlowsUrgent) => {
                self.block(now, head.key, demand);
                Turn::Passed
            }
        }
    }

    /// What the next task of a job gets; `None` if the job was given up or put aside.
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

    /// What earlier runs of the task, or of its job, proved to be too little.
    fn floor(&self, head: &Head) -> Resources {
        let trouble = self.troubles.get(&head.task);
        let growth = self.growths.get(head.key);
        let task = trouble.map_or(Resources::ZERO, |t| t.floor);
        let job = growth.map_or(Resources::ZERO, |g| g.floor);
        task.max(job)
    }

    fn wait_for_quota(&mut self, now: Moment, head: &Head, demand: Resources) {
        if !self.queue.held(head.team).is_zero() {
            self.queue.cap(head.team);
            self.drop_reservation(head.key);
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
            let fits = worker.is_some_and(|w| demand.fits_in(w.available()));
            return fits.then_some(key).ok_or(NoWorker::NoRoom);
        }
        let trouble = self.troubles.get(&head.task);
        let wanted = PlacementRequest {
            class: head.class,
            demand,
            avoid: trouble.map_or(&[], |t| &t.failed_on),
        };
        let rules = self.policy.rules();
        choose(now, wanted, &self.workers, &self.model, &rules, rng)
    }

    fn place(&mut self, now: Moment, head: &Head, demand: Resources, key: WorkerKey) -> Turn {
        let Some(worker) = self.workers.get(key) else {
            return Turn::Passed;
        };
        let (id, share) = (worker.id, worker.share(demand));
        let Some(task) = self.queue.take(now, head.key) else {
            return Turn::Passed;
        };
        self.waits.remove(head.key);
        self.drop_reservation(head.key);
        let run = Run {
            job: Some(head.key),
            team: head.team,
            class: head.class,
            worker: key,
            declared: head.declared,
            demand,
            saved: now,
            restraint: Restraint::Free,
            peak: Resources::ZERO,
            share,
        };
        self.allocate(now, task, run);
        Turn::Placed(Placement {
            task,
            worker: id,
            demand,
        })
    }

    /// Sets room aside for a run.
    pub(super) fn allocate(&mut self, now: Moment, task: TaskId, run: Run) {
        let allocation = Allocation {
            task,
            class: run.class,
            amount: run.demand,
        };
        self.queue.charge(run.team, run.demand);
        self.workers.allocate(now, run.worker, allocation);
        self.start_trial(run.worker, task);
        self.refresh_admission(run.worker);
        self.runs.insert(task, run);
    }

    /// Gives the room of a run back.
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
            if let Some(watch) = self.watches.get_mut(run.worker) {
                watch.evicting -= 1;
            }
        }
        self.end_trial(run.worker, task);
        self.refresh_admission(run.worker);
        self.unblock_fitting(run.worker);
        if let Some(job) = run.job {
            self.unblock(job);
        }
        Some(run)
    }
}

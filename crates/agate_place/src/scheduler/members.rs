//! Workers that come and go, and runs that others placed.

use agate_core::{Incarnation, Moment, Resources, TaskId};

use super::run::{Restraint, Run};
use super::watch::Watch;
use super::{AdoptedRun, Disposition, RunOutcome, Scheduler, ViewState, WorkerSpec};

impl Scheduler {
    /// Adds a worker. One that is known already is left as it is.
    pub fn join(&mut self, now: Moment, worker: WorkerSpec) {
        let key = self.workers.join(now, worker.id, worker.capacity);
        if !self.watches.contains_key(key) {
            self.watches.insert(key, Watch::new());
        }
        self.queue.set_total(self.workers.total());
        self.refresh_admission(key);
        self.unblock_fitting(key);
    }

    /// Keeps new tasks from a worker that is leaving.
    pub fn mark_leaving(&mut self, worker: Incarnation) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        if let Some(watch) = self.watches.get_mut(key) {
            watch.leaving = true;
        }
        self.refresh_admission(key);
    }

    /// Removes a worker. Answers its runs; each still counts until [`Self::ended`] is called with
    /// [`End::Lost`], after its lease has lapsed beyond doubt.
    pub fn remove(&mut self, now: Moment, worker: Incarnation) -> Vec<TaskId> {
        let Some(key) = self.workers.key(worker) else {
            return Vec::new();
        };
        let removed = self.workers.leave(now, worker);
        self.watches.remove(key);
        self.pressed.remove(&key);
        self.failure_tracker.forget_worker(key);
        self.reservations.retain(|r| r.worker != key);
        self.queue.set_total(self.workers.total());
        removed.map_or_else(Vec::new, |worker| worker.runs)
    }

    /// Tells how much is known of the workers that there are.
    pub fn set_view(&mut self, now: Moment, view: ViewState) {
        self.workers.set_view(now, view);
    }

    /// Takes the word of a worker's agent for what all of its runs hold.
    pub fn report_held(&mut self, worker: Incarnation, held: Resources) {
        if let Some(key) = self.workers.key(worker) {
            self.workers.report_held(key, held);
            self.unblock_fitting(key);
        }
    }

    /// Takes in a run that another process placed, or that is known from the log. If its task waits
    /// here, it no longer does. Nothing changes if the run is known already or its
    /// worker is not.
    pub fn adopt(&mut self, now: Moment, run: &AdoptedRun) {
        if self.runs.contains_key(&run.task) {
            return;
        }
        let Some(key) = self.workers.key(run.worker) else {
            return;
        };
        let job = self.queue.job(run.task.job);
        if let Some(job) = job {
            self.queue.claim(job, run.task.index);
        }
        let worker = self.workers.get(key);
        let share = worker.map_or(0.0, |w| w.share(run.demand));
        let adopted = Run {
            job,
            team: self.queue.team(&run.team),
            class: self.queue.class(&run.class),
            worker: key,
            declared: run.declared,
            demand: run.demand,
            saved: now,
            restraint: Restraint::Free,
            peak: Resources::ZERO,
            share,
        };
        self.allocate(now, run.task, adopted);
    }

    /// Ends a run whose worker was lost.
    pub fn lost(&mut self, now: Moment, task: TaskId) -> Disposition {
        self.ended(now, task, RunOutcome::Lost, Resources::ZERO)
    }
}

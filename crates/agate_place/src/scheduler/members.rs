//! Joining and leaving workers, and runs placed by other processes.

use agate_core::{Incarnation, Moment, Resources, TaskId};

use super::monitor::Monitor;
use super::run::{Restraint, Run};
use super::{AdoptedRun, Disposition, RunOutcome, Scheduler, ViewState, WorkerSpec};

impl Scheduler {
    /// Adds a worker. Does nothing if the worker is already known.
    pub fn join(&mut self, now: Moment, worker: WorkerSpec) {
        let key = self.workers.join(now, worker.id, worker.capacity);
        if !self.monitors.contains_key(key) {
            self.monitors.insert(key, Monitor::new());
        }
        self.queue.set_total(self.workers.total());
        self.refresh_admission(key);
        self.unblock_fitting(key);
    }

    /// Stops placing tasks on a worker that is leaving, and drops its reservation, so that the job may be
    /// placed elsewhere.
    pub fn mark_leaving(&mut self, worker: Incarnation) {
        let Some(key) = self.workers.key(worker) else {
            return;
        };
        if let Some(monitor) = self.monitors.get_mut(key) {
            monitor.leaving = true;
        }
        self.reservations.retain(|r| r.worker != key);
        self.refresh_admission(key);
    }

    /// Removes a worker and returns its runs. Each run still counts until [`Self::ended`] is called
    /// with [`RunOutcome::Lost`], once its lease has certainly expired.
    pub fn remove(&mut self, now: Moment, worker: Incarnation) -> Vec<TaskId> {
        let Some(key) = self.workers.key(worker) else {
            return Vec::new();
        };
        let removed = self.workers.leave(now, worker);
        self.monitors.remove(key);
        self.under_pressure.remove(&key);
        self.failure_tracker.forget_worker(key);
        self.reservations.retain(|r| r.worker != key);
        self.queue.set_total(self.workers.total());
        for key in self.failure_tracker.release_excess(self.workers.len()) {
            self.refresh_trust(key);
        }
        removed.map_or_else(Vec::new, |worker| worker.runs)
    }

    /// Sets whether all workers are known.
    pub fn set_view(&mut self, now: Moment, view: ViewState) {
        self.workers.set_view(now, view);
    }

    /// Records the resources that a worker's agent reports as held by its runs.
    pub fn report_held(&mut self, worker: Incarnation, held: Resources) {
        if let Some(key) = self.workers.key(worker) {
            self.workers.report_held(key, held);
            self.unblock_fitting(key);
        }
    }

    /// Adds a run that another process placed or that was read from the log. If its task is queued
    /// here, the task is taken from the queue. Does nothing if the run is already known or its
    /// worker is unknown.
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
            last_checkpoint: now,
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

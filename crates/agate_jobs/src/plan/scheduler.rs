//! The scheduler's state and the changes that reach it.

use std::collections::{BTreeMap, HashMap};

use agate_core::{JobId, Moment};

use crate::plan::effect::Effect;
use crate::plan::interference::InterferenceTable;
use crate::plan::worker::{Binding, Worker};
use crate::record::{Body, EndCause, Order, OrderKind, Record, RunEnd, SuspicionRecord};
use crate::table::{Change, JobTable};
use crate::task::TaskKey;
use crate::worker::{WorkerIncarnation, WorkerReport, WorkerState};

/// Weight of a new run in the average of all workers' slowness.
const MEAN_WEIGHT: f64 = 0.05;

/// A placement, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Name of the worker.
    pub worker: String,
}

/// Bindings of tasks to workers, and what decides them.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(super) workers: Vec<Worker>,
    pub(super) slots: HashMap<String, usize>,
    pub(super) bindings: BTreeMap<TaskKey, Binding>,
    pub(super) started_jobs: Vec<JobId>,
    pub(super) interference: InterferenceTable,
    pub(super) effects: Vec<Effect>,
    mean_slowness: f64,
}

impl Scheduler {
    /// What has to be recorded for the decisions since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Jobs of which a first task has been bound since the last call.
    pub fn take_started_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.started_jobs)
    }

    /// Whether any run of a job is bound.
    pub fn is_bound(&self, job: JobId) -> bool {
        self.bound(job).next().is_some()
    }

    /// Number of runs that are bound.
    pub fn bound_runs(&self) -> usize {
        self.bindings.len()
    }

    /// Takes what a record changed in `book`.
    pub fn apply(&mut self, table: &JobTable, change: &Change, now: Moment) {
        match change {
            Change::None | Change::Submitted(_) | Change::Leader => {}
            Change::Final(job) => self.stop_job(*job),
            Change::Ended(end) => self.ended(table, end, now),
            Change::Worker(name) => {
                if let Some(report) = table.worker(name) {
                    self.report(report, now);
                }
            }
        }
    }

    /// Orders a stop of every run that is bound for a job.
    pub(super) fn stop_job(&mut self, job: JobId) {
        let tasks: Vec<TaskKey> = self.bound(job).map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop(task);
        }
    }

    fn stop(&mut self, task: TaskKey) {
        let Some(binding) = self.bindings.get_mut(&task) else {
            return;
        };
        if binding.stopping {
            return;
        }
        binding.stopping = true;
        let worker = &self.workers[binding.worker];
        self.effects.push(Effect::order(Order {
            incarnation: incarnation_of(worker, binding),
            task,
            run: binding.run,
            kind: OrderKind::Stop {
                demand: binding.demand,
                best_effort: binding.best_effort,
            },
        }));
    }

    pub(super) fn bound(&self, job: JobId) -> impl Iterator<Item = (&TaskKey, &Binding)> {
        let first = TaskKey {
            job,
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let last = TaskKey {
            job,
            occurrence: u32::MAX,
            step: u32::MAX,
            index: u32::MAX,
        };
        self.bindings.range(first..=last)
    }

    fn ended(&mut self, table: &JobTable, end: &RunEnd, now: Moment) {
        if let Some(slot) = self.slots.get(&end.worker).copied() {
            let worker = &mut self.workers[slot];
            if end.cause != EndCause::Lost {
                worker.last_contact = now;
            }
            worker.health.ended(end.task.job, end.cause, now);
        }
        let known = self.bindings.get(&end.task);
        if known.is_some_and(|binding| binding.run <= end.run) {
            self.release(end);
        }
        let job = table.job(end.task.job);
        if job.is_none_or(|job| job.state().is_final()) {
            self.stop_job(end.task.job);
        }
    }

    fn release(&mut self, end: &RunEnd) {
        let Some(binding) = self.bindings.remove(&end.task) else {
            return;
        };
        let worker = &mut self.workers[binding.worker];
        worker.release(end.task, &binding);
        if end.cause == EndCause::Done && binding.estimate_ms > 0 && end.ran_ms > 0 {
            let ratio = (end.ran_ms as f64 / binding.estimate_ms as f64).ln();
            self.mean_slowness += MEAN_WEIGHT * (ratio - self.mean_slowness);
            worker.health.ran(ratio - self.mean_slowness);
        }
        let name = worker.report.incarnation.name.clone();
        let key = format!("r/{name}/{}", end.task);
        self.effects.push(Effect::drop_order(&name, key));
    }

    /// Takes a report on a worker.
    pub(super) fn report(&mut self, report: &WorkerReport, now: Moment) {
        let slot = self.enlist(report, now);
        self.interference.learn(&report.interference);
        let worker = &mut self.workers[slot];
        worker.last_contact = now;
        let held = &worker.suspicion.incarnation;
        let reborn = report.incarnation.started_ms > held.started_ms;
        let lapsed = report.state == WorkerState::Lapsed && report.incarnation == *held;
        worker.report = report.clone();
        worker.forgotten = false;
        if reborn {
            worker.suspicion = suspicion_of(report.incarnation.clone());
            worker.suspected_at = None;
        }
        if lapsed {
            self.raise_term(slot);
        }
        if reborn || lapsed || report.state == WorkerState::Gone {
            self.lose(slot);
        }
        self.retire_predecessors(&report.address);
    }

    /// Takes every worker at an address but the one that started last as gone.
    fn retire_predecessors(&mut self, address: &str) {
        let at_address = |worker: &Worker| worker.report.address == address;
        let workers = self.workers.iter().filter(|worker| at_address(worker));
        let newest = workers
            .map(|worker| worker.report.incarnation.started_ms)
            .max();
        for slot in 0..self.workers.len() {
            let worker = &mut self.workers[slot];
            let older = Some(worker.report.incarnation.started_ms) < newest;
            if at_address(worker) && older && worker.report.state != WorkerState::Gone {
                worker.report.state = WorkerState::Gone;
                self.lose(slot);
            }
        }
    }

    fn enlist(&mut self, report: &WorkerReport, now: Moment) -> usize {
        let name = &report.incarnation.name;
        if let Some(slot) = self.slots.get(name) {
            return *slot;
        }
        let slot = self.workers.len();
        let suspicion = suspicion_of(report.incarnation.clone());
        self.workers
            .push(Worker::new(report.clone(), suspicion, now));
        self.slots.insert(name.clone(), slot);
        slot
    }

    /// Raises the term of a worker's incarnation, so that no earlier order counts any more.
    pub(super) fn raise_term(&mut self, slot: usize) {
        let worker = &mut self.workers[slot];
        worker.suspicion.incarnation.term += 1;
        worker.suspicion.suspected = false;
        worker.suspected_at = None;
        self.effects
            .push(Effect::suspicion(worker.suspicion.clone()));
    }

    /// Records the runs that were bound to earlier terms or incarnations of a worker as lost.
    pub(super) fn lose(&mut self, slot: usize) {
        let worker = &self.workers[slot];
        let gone = worker.report.state == WorkerState::Gone;
        let current = (
            worker.suspicion.incarnation.started_ms,
            worker.suspicion.incarnation.term,
        );
        let lost = self
            .bindings
            .iter()
            .filter(|(_, binding)| binding.worker == slot && (gone || binding.term != current));
        let ends: Vec<Effect> = lost
            .map(|(task, binding)| {
                Effect::Main(Record::new(Body::Ended(RunEnd {
                    task: *task,
                    run: binding.run,
                    cause: EndCause::Lost,
                    checkpoint: String::new(),
                    worker: worker.report.incarnation.name.clone(),
                    ran_ms: 0,
                })))
            })
            .collect();
        self.effects.extend(ends);
    }
}

pub(super) fn incarnation_of(worker: &Worker, binding: &Binding) -> WorkerIncarnation {
    WorkerIncarnation {
        name: worker.report.incarnation.name.clone(),
        started_ms: binding.term.0,
        term: binding.term.1,
    }
}

fn suspicion_of(incarnation: WorkerIncarnation) -> SuspicionRecord {
    SuspicionRecord {
        incarnation,
        number: 0,
        suspected: false,
    }
}

//! State of the scheduler and its reaction to folded records.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use agate_core::{JobId, Moment};

use crate::loss::LossReason;
use crate::plan::effect::Effect;
use crate::plan::health::Trust;
use crate::plan::interference::InterferenceTable;
use crate::plan::moves::Moves;
use crate::plan::order::JobOrder;
use crate::plan::restarts::Restarts;
use crate::plan::short_waits::ShortWaits;
use crate::plan::starved::Starved;
use crate::plan::suspects::Suspects;
use crate::plan::unstarted::UnstartedRuns;
use crate::plan::waits::Waits;
use crate::plan::withdrawal::Withdrawal;
use crate::plan::worker::{Binding, Worker};
use crate::record::{Body, EndCause, Order, OrderKind, Record, RunEnd, SuspicionRecord};
use crate::table::{Change, JobTable};
use crate::task::TaskKey;
use crate::worker::{WorkerIncarnation, WorkerReport, WorkerState};

/// Weight of a new run in the moving average of the slowness of all workers.
const MEAN_WEIGHT: f64 = 0.05;

/// A task that was bound to a worker.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Name of the worker.
    pub worker: String,
    /// How far the worker was trusted.
    pub trust: Trust,
}

/// Binds tasks to workers and tracks what these decisions depend on.
#[derive(Debug, Default)]
pub struct Scheduler {
    pub(super) workers: Vec<Worker>,
    /// Index into `workers` by name.
    pub(super) slots: HashMap<String, usize>,
    /// Indices into `workers` by address.
    addresses: HashMap<String, Vec<usize>>,
    pub(super) bindings: BTreeMap<TaskKey, Binding>,
    started_jobs: BTreeSet<JobId>,
    pub(super) interference: InterferenceTable,
    pub(super) effects: Vec<Effect>,
    pub(super) withdrawal: Withdrawal,
    pub(super) moves: Moves,
    pub(super) order: JobOrder,
    pub(super) suspects: Suspects,
    pub(super) waits: Waits,
    pub(super) short_waits: ShortWaits,
    pub(super) starved: Starved,
    pub(super) unstarted: UnstartedRuns,
    pub(super) restarts: Restarts,
    /// Workers that were found without a report in a restore.
    pub(super) unlisted: Vec<String>,
    mean_slowness: f64,
}

impl Scheduler {
    /// Returns the effects of all decisions since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Returns the jobs whose first start an agent has reported since the last call.
    pub fn take_started_jobs(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.started_jobs).into_iter().collect()
    }

    /// Leaves jobs that have started to the next heartbeat. The next report on a worker replaces the
    /// one that listed them.
    pub(super) fn list_started(&mut self, jobs: &[JobId]) {
        self.started_jobs.extend(jobs);
    }

    /// Returns whether any run of a job is bound.
    pub fn is_bound(&self, job: JobId) -> bool {
        self.bindings_of(job).next().is_some()
    }

    /// Returns the number of bound runs.
    pub fn bound_runs(&self) -> usize {
        self.bindings.len()
    }

    /// Binds nothing to the workers, given by name, whose orders the log doesn't take at present. What was
    /// bound to them waits for the log.
    pub fn hold_orders(&mut self, is_held: impl Fn(&str) -> bool) {
        for worker in &mut self.workers {
            worker.orders_held = is_held(&worker.report.incarnation.name);
        }
    }

    /// Reacts to the change that a record made to `table`.
    pub fn apply(&mut self, table: &JobTable, change: &Change, now: Moment) {
        match change {
            Change::None | Change::Submitted(_) | Change::Leader | Change::Rejected(_) => {}
            Change::Final(job) => self.stop_job(*job),
            Change::Ended(end) => self.apply_end(table, end, now),
            Change::Worker(name) => {
                if let Some(report) = table.worker(name) {
                    self.apply_report(report, now);
                }
            }
        }
    }

    /// Orders a stop of every bound run of a job.
    pub(super) fn stop_job(&mut self, job: JobId) {
        let tasks: Vec<TaskKey> = self.bindings_of(job).map(|(task, _)| *task).collect();
        for task in tasks {
            self.stop(task);
        }
    }

    pub(super) fn stop(&mut self, task: TaskKey) {
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

    pub(super) fn bindings_of(&self, job: JobId) -> impl Iterator<Item = (&TaskKey, &Binding)> {
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

    fn apply_end(&mut self, table: &JobTable, end: &RunEnd, now: Moment) {
        if let Some(slot) = self.slots.get(&end.worker).copied() {
            let binding = self.bindings.get(&end.task);
            let binding = binding.filter(|known| known.worker == slot && known.run == end.run);
            let bound_at = binding.map(|known| known.bound_at);
            let worker = &mut self.workers[slot];
            if end.cause != EndCause::Lost {
                worker.last_contact = now;
            }
            let job = end.task.job;
            worker.health.record_end(job, end.cause, bound_at, now);
        }
        let bound_run = self.bindings.get(&end.task).map(|binding| binding.run);
        match bound_run {
            Some(run) if run <= end.run => {
                self.unstarted.record_end(end, now);
                self.release(end);
                self.delay_restart(table, end, now);
            }
            // A run that was taken for lost has finished the task.
            Some(_) if end.cause == EndCause::Done && !runs_again(table, end) => {
                self.stop(end.task);
            }
            _ => {}
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
            worker.health.record_run_time(ratio - self.mean_slowness);
        }
        let name = worker.report.incarnation.name.clone();
        let key = format!("r/{name}/{}", end.task);
        self.effects.push(Effect::drop_order(&name, key));
    }

    /// Applies a report on a worker.
    pub(super) fn apply_report(&mut self, report: &WorkerReport, now: Moment) {
        let slot = self.register(report, now);
        self.list_started(&report.started_jobs);
        self.interference.learn(&report.interference);
        let worker = &mut self.workers[slot];
        worker.last_contact = now;
        let tracked = &worker.suspicion.incarnation;
        let restarted = report.incarnation.started_ms > tracked.started_ms;
        let lapsed = report.state == WorkerState::Lapsed && report.incarnation == *tracked;
        let address = worker.report.address.clone();
        worker.set_report(report, now);
        worker.withdrawn = self.withdrawal.contains(&report.zone);
        if restarted {
            worker.suspicion = no_suspicion(report.incarnation.clone());
            worker.suspected_at = None;
        }
        let gone = worker.is_gone();
        if address != report.address {
            self.move_address(slot, &address);
        }
        if lapsed {
            self.raise_term(slot);
        }
        let adopted = self.adopt_incarnation(&report.incarnation);
        let reason = match (restarted, gone, lapsed, adopted) {
            (true, ..) => Some(LossReason::Restarted),
            (_, true, ..) => Some(LossReason::Left),
            (_, _, true, _) => Some(LossReason::Lapsed),
            (.., true) => Some(LossReason::Superseded),
            _ => None,
        };
        if let Some(reason) = reason {
            self.record_lost_runs(slot, reason);
        }
        self.retire_predecessors(&report.address);
    }

    /// Marks all workers at an address as gone except for the one that started last.
    fn retire_predecessors(&mut self, address: &str) {
        let slots = self.addresses.get(address).cloned().unwrap_or_default();
        let started_ms = |worker: &Worker| worker.report.incarnation.started_ms;
        let newest = slots
            .iter()
            .map(|slot| started_ms(&self.workers[*slot]))
            .max();
        for slot in slots {
            let worker = &mut self.workers[slot];
            let older = Some(started_ms(worker)) < newest;
            if older && worker.report.state != WorkerState::Gone {
                worker.report.state = WorkerState::Gone;
                self.record_lost_runs(slot, LossReason::Replaced);
            }
        }
    }

    /// Lists a worker under the address of its report instead of `old`.
    fn move_address(&mut self, slot: usize, old: &str) {
        if let Some(slots) = self.addresses.get_mut(old) {
            slots.retain(|other| *other != slot);
            if slots.is_empty() {
                self.addresses.remove(old);
            }
        }
        let address = self.workers[slot].report.address.clone();
        let slots = self.addresses.entry(address).or_default();
        // Ends of lost runs are recorded in the order of the slots.
        let at = slots.partition_point(|other| *other < slot);
        slots.insert(at, slot);
    }

    /// Adopts the incarnation and term of a record if they are newer than the tracked ones. Only a
    /// leader raises terms, so a newer one was raised by an earlier leader. Returns whether it was
    /// newer.
    pub(super) fn adopt_incarnation(&mut self, incarnation: &WorkerIncarnation) -> bool {
        let Some(slot) = self.slots.get(&incarnation.name).copied() else {
            return false;
        };
        let worker = &mut self.workers[slot];
        if *incarnation <= worker.suspicion.incarnation {
            return false;
        }
        let number = worker.suspicion.number.max(worker.report.acked_suspicion);
        worker.suspected_at = None;
        worker.suspicion = SuspicionRecord {
            incarnation: incarnation.clone(),
            number,
            suspected: false,
        };
        self.effects
            .push(Effect::suspicion(worker.suspicion.clone()));
        true
    }

    pub(super) fn register(&mut self, report: &WorkerReport, now: Moment) -> usize {
        let name = &report.incarnation.name;
        if let Some(slot) = self.slots.get(name) {
            return *slot;
        }
        let slot = self.workers.len();
        let suspicion = no_suspicion(report.incarnation.clone());
        self.workers
            .push(Worker::new(report.clone(), suspicion, now));
        self.slots.insert(name.clone(), slot);
        self.addresses
            .entry(report.address.clone())
            .or_default()
            .push(slot);
        slot
    }

    /// Raises the term of a worker's incarnation, which invalidates all earlier orders.
    pub(super) fn raise_term(&mut self, slot: usize) {
        let worker = &mut self.workers[slot];
        worker.suspicion.incarnation.term += 1;
        worker.suspicion.suspected = false;
        worker.suspected_at = None;
        self.effects
            .push(Effect::suspicion(worker.suspicion.clone()));
    }

    /// Records runs bound to earlier terms or incarnations of a worker as lost, or all of its runs
    /// if it is gone.
    pub(super) fn record_lost_runs(&mut self, slot: usize, reason: LossReason) {
        let worker = &self.workers[slot];
        let gone = worker.is_gone();
        let current = (
            worker.suspicion.incarnation.started_ms,
            worker.suspicion.incarnation.term,
        );
        let bound = worker.tasks.iter();
        let bound = bound.filter_map(|task| Some((task, self.bindings.get(task)?)));
        let lost = bound.filter(|(_, binding)| gone || binding.term != current);
        let peers = worker.runs();
        let ends: Vec<Effect> = lost
            .map(|(task, binding)| {
                Effect::Main(Record::new(Body::Ended(RunEnd {
                    task: *task,
                    run: binding.run,
                    cause: EndCause::Lost,
                    checkpoint: String::new(),
                    worker: worker.report.incarnation.name.clone(),
                    ran_ms: 0,
                    loss: Some(reason),
                    crash: reason
                        .is_crash()
                        .then(|| worker.crash_under(binding, peers)),
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

/// Returns whether the task of an ended run is long-running.
fn runs_again(table: &JobTable, end: &RunEnd) -> bool {
    let job = table.job(end.task.job);
    job.is_some_and(|job| job.is_long_running(end.task))
}

fn no_suspicion(incarnation: WorkerIncarnation) -> SuspicionRecord {
    SuspicionRecord {
        incarnation,
        number: 0,
        suspected: false,
    }
}

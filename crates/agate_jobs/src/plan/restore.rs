//! Restoring the scheduler's state after a change of leader.
//!
//! A worker is described by its newest report, by its suspicion record and by its orders. Appends
//! of agents may take effect late, so each of the three may be older than the others. The newest
//! incarnation and term that any of them names is the current one.
//!
//! A worker without a report is not known to have left: its report may be hidden by a record that can't be
//! read. Its runs stay bound until its agent reports, or until their leases have surely lapsed.

use agate_core::{JobId, Moment};

use crate::loss::LossReason;
use crate::plan::effect::Effect;
use crate::plan::last_contact::LastContact;
use crate::plan::scheduler::Scheduler;
use crate::plan::suspects;
use crate::plan::suspicion_times::SuspicionTimes;
use crate::plan::worker::Binding;
use crate::record::{Body, Order, OrderKind, Record, SuspicionRecord};
use crate::spec::StepSpec;
use crate::table::{JobTable, follows};
use crate::worker::WorkerReport;

/// What an entry has read so far.
#[derive(Debug, Clone, Copy)]
pub struct Known<'a> {
    /// The recorded jobs and workers.
    pub table: &'a JobTable,
    /// An agent's silence is counted from its last contact.
    pub last_contact: &'a LastContact,
    /// The expiry of an open suspicion is counted from the time at which a heartbeat first listed it.
    pub suspicion_times: &'a SuspicionTimes,
}

/// What a step restores. Each part relies on all earlier ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Part {
    Workers,
    Unlisted,
    Suspicions,
    Incarnations,
    Reports,
    Orders,
    LostRuns,
    Jobs,
    Done,
}

/// A restore of the scheduler's state, in steps of bounded work.
///
/// The table may change between two steps. All changes since the start of the restore are to be
/// applied to the scheduler after it, in their order: some steps have seen them, others have not, and
/// applying a change twice has no further effect.
#[derive(Debug)]
pub struct Restore {
    scheduler: Scheduler,
    /// Names of the workers that were known at the start.
    workers: Vec<String>,
    /// Jobs that were known at the start. Later ones have no run.
    jobs: Vec<JobId>,
    suspicions: Vec<SuspicionRecord>,
    orders: Vec<Order>,
    part: Part,
    /// Number of items of `part` that have been restored.
    restored: usize,
}

impl Restore {
    /// Starts a restore from the recorded jobs and workers and from the open orders.
    pub fn new(table: &JobTable, records: Vec<Record>) -> Self {
        let workers = table.workers();
        let mut restore = Self {
            scheduler: Scheduler::default(),
            workers: workers
                .map(|report| report.incarnation.name.clone())
                .collect(),
            jobs: table.jobs().map(|(id, _)| id).collect(),
            suspicions: Vec::new(),
            orders: Vec::new(),
            part: Part::Workers,
            restored: 0,
        };
        for record in records {
            match record.body {
                Some(Body::Suspicion(suspicion)) => restore.suspicions.push(suspicion),
                Some(Body::Order(order)) => restore.orders.push(order),
                _ => {}
            }
        }
        restore
    }

    /// Restores up to `limit` workers, orders or jobs. Returns whether everything is restored.
    pub fn step(&mut self, limit: usize, known: Known<'_>, now: Moment) -> bool {
        for _ in 0..limit {
            while self.restored == self.items() {
                let Some(next) = self.part.next() else {
                    return true;
                };
                self.part = next;
                self.restored = 0;
            }
            self.restore_item(self.restored, known, now);
            self.restored += 1;
        }
        false
    }

    /// Returns the scheduler.
    ///
    /// # Panics
    ///
    /// If the last step has not restored everything: a scheduler that lacks orders would start their
    /// tasks again.
    pub fn finish(mut self, now: Moment) -> Scheduler {
        assert_eq!(self.part, Part::Done, "the restore is complete");
        self.scheduler.start_adoption(now);
        self.scheduler
    }

    fn items(&self) -> usize {
        match self.part {
            Part::Workers | Part::Reports => self.workers.len(),
            Part::Suspicions => self.suspicions.len(),
            Part::Unlisted | Part::Incarnations | Part::Orders => self.orders.len(),
            Part::LostRuns => self.scheduler.workers.len(),
            Part::Jobs => self.jobs.len(),
            Part::Done => 0,
        }
    }

    fn restore_item(&mut self, at: usize, known: Known<'_>, now: Moment) {
        let scheduler = &mut self.scheduler;
        match self.part {
            Part::Workers => {
                if let Some(report) = known.table.worker(&self.workers[at]) {
                    let contact = known.last_contact.get_or(&self.workers[at], now);
                    scheduler.register(report, contact);
                }
            }
            Part::Unlisted => scheduler.register_unlisted(known.table, &self.orders[at], now),
            Part::Suspicions => {
                let suspicion = self.suspicions[at].clone();
                let stored_at = known.suspicion_times.get_or(&suspicion, now);
                scheduler.restore_suspicion(suspicion, stored_at);
            }
            Part::Incarnations => {
                scheduler.adopt_incarnation(&self.orders[at].incarnation);
            }
            Part::Reports => {
                if let Some(report) = known.table.worker(&self.workers[at]) {
                    let contact = known.last_contact.get_or(&self.workers[at], now);
                    scheduler.apply_report(report, contact);
                }
            }
            Part::Orders => scheduler.restore_order(known.table, &self.orders[at], now),
            Part::LostRuns => scheduler.record_lost_runs(at, LossReason::Superseded),
            Part::Jobs => scheduler.restore_job(known.table, self.jobs[at]),
            Part::Done => {}
        }
    }
}

impl Part {
    const fn next(self) -> Option<Self> {
        match self {
            Self::Workers => Some(Self::Unlisted),
            Self::Unlisted => Some(Self::Suspicions),
            Self::Suspicions => Some(Self::Incarnations),
            Self::Incarnations => Some(Self::Reports),
            Self::Reports => Some(Self::Orders),
            Self::Orders => Some(Self::LostRuns),
            Self::LostRuns => Some(Self::Jobs),
            Self::Jobs => Some(Self::Done),
            Self::Done => None,
        }
    }
}

impl Scheduler {
    /// Registers the worker of an open order if it has no report. Its agent's silence counts from now on, as that
    /// of any other worker.
    fn register_unlisted(&mut self, table: &JobTable, order: &Order, now: Moment) {
        let name = &order.incarnation.name;
        if self.slots.contains_key(name) || !is_open(table, order) {
            return;
        }
        self.register(&WorkerReport::unlisted(order.incarnation.clone()), now);
        self.unlisted.push(name.clone());
    }

    /// Returns the workers that were found without a report since the last call.
    pub fn take_unlisted(&mut self) -> Vec<String> {
        std::mem::take(&mut self.unlisted)
    }

    fn restore_suspicion(&mut self, suspicion: SuspicionRecord, stored_at: Moment) {
        let Some(slot) = self.slots.get(&suspicion.incarnation.name).copied() else {
            let name = suspicion.incarnation.name;
            let key = format!("s/{name}");
            self.effects.push(Effect::drop_order(&name, key));
            return;
        };
        let worker = &mut self.workers[slot];
        if suspicion.incarnation >= worker.suspicion.incarnation {
            worker.suspected_at = suspicion.suspected.then_some(stored_at);
            worker.suspicion = suspicion;
        }
    }

    fn restore_order(&mut self, table: &JobTable, order: &Order, now: Moment) {
        let name = order.incarnation.name.clone();
        let key = format!("r/{name}/{}", order.task);
        let job = table.job(order.task.job);
        let progress = job.and_then(|job| job.step_progress(order.task));
        let task = progress.and_then(|step| step.tasks.get(order.task.index as usize));
        let ended = !is_open(table, order);
        let newer = self.bindings.get(&order.task);
        let superseded = newer.is_some_and(|binding| binding.run > order.run);
        let slot = self.slots.get(&name).copied();
        let (Some(slot), false, false) = (slot, ended, superseded) else {
            self.effects.push(Effect::drop_order(&name, key));
            return;
        };
        // The job had started before the run was bound, which this entry may not have read.
        if matches!(order.kind, OrderKind::Start { first: false, .. }) {
            self.list_started(&[order.task.job]);
        }
        let (demand, best_effort, estimate_ms, stopping) = match &order.kind {
            OrderKind::Start {
                demand,
                best_effort,
                estimate_ms,
                ..
            } => (*demand, *best_effort, *estimate_ms, false),
            OrderKind::Stop {
                demand,
                best_effort,
            } => (*demand, *best_effort, 0, true),
        };
        let step = job.and_then(|job| job.step(order.task));
        let binding = Binding {
            run: order.run,
            worker: slot,
            term: (order.incarnation.started_ms, order.incarnation.term),
            demand,
            best_effort,
            serving_image: step.map_or_else(String::new, StepSpec::serving_image),
            best_effort_image: step.map_or_else(String::new, StepSpec::best_effort_image),
            long_running: step.is_some_and(|step| step.long_running),
            estimate_ms,
            stopping,
            bound_at: now,
            probe_until: step
                .zip(task)
                .and_then(|(step, task)| suspects::probe_until(step, task, now)),
        };
        if let Some(old) = self.bindings.insert(order.task, binding.clone()) {
            self.workers[old.worker].release(order.task, &old);
        }
        self.workers[slot].bind(order.task, &binding);
    }

    fn restore_job(&mut self, table: &JobTable, id: JobId) {
        let Some(job) = table.job(id) else {
            return;
        };
        if job.state().is_final() {
            self.stop_job(id);
        }
        let needless = self
            .bindings_of(id)
            .filter(|(task, binding)| job.has_finished_before(**task, binding.run));
        for task in needless.map(|(task, _)| *task).collect::<Vec<_>>() {
            self.stop(task);
        }
        self.adopt_moves(id, job);
    }
}

/// Returns whether the run of an order may be active: its task is known, and no end of the run is recorded.
fn is_open(table: &JobTable, order: &Order) -> bool {
    let Some(job) = table.job(order.task.job) else {
        return false;
    };
    let Some(progress) = job.step_progress(order.task) else {
        return false;
    };
    let Some(task) = progress.tasks.get(order.task.index as usize) else {
        return false;
    };
    let is_gang = job.step(order.task).is_some_and(|step| step.gang);
    let step_run = if is_gang { progress.last_run() } else { 0 };
    task.last_run < order.run && follows(order.run, task.last_run.max(step_run))
}

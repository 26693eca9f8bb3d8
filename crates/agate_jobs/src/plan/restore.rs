//! Restoring the scheduler's state after a change of leader.
//!
//! A worker is described by its newest report, by its suspicion record and by its orders. Appends
//! of agents may take effect late, so each of the three may be older than the others. The newest
//! incarnation and term that any of them names is the current one.

use agate_core::Moment;

use crate::loss::LossReason;
use crate::plan::effect::Effect;
use crate::plan::last_contact::LastContact;
use crate::plan::scheduler::Scheduler;
use crate::plan::suspects;
use crate::plan::suspicion_times::SuspicionTimes;
use crate::plan::worker::Binding;
use crate::record::{Body, Order, OrderKind, Record, SuspicionRecord};
use crate::spec::StepSpec;
use crate::table::JobTable;

impl Scheduler {
    /// Restores the scheduler from the recorded jobs and workers and from the open orders. An
    /// agent's silence is counted from its last contact, and the expiry of an open suspicion from the
    /// time at which a heartbeat first listed it.
    pub fn restore(
        table: &JobTable,
        orders: Vec<Record>,
        last_contact: &LastContact,
        suspicion_times: &SuspicionTimes,
        now: Moment,
    ) -> Self {
        let mut scheduler = Self::default();
        for report in table.workers() {
            let contact = last_contact.get_or(&report.incarnation.name, now);
            scheduler.register(report, contact);
        }
        let mut open_orders = Vec::new();
        for record in orders {
            match record.body {
                Some(Body::Suspicion(suspicion)) => {
                    let stored_at = suspicion_times.get_or(&suspicion, now);
                    scheduler.restore_suspicion(suspicion, stored_at);
                }
                Some(Body::Order(order)) => open_orders.push(order),
                _ => {}
            }
        }
        for order in &open_orders {
            scheduler.adopt_incarnation(&order.incarnation);
        }
        for report in table.workers() {
            scheduler.apply_report(report, last_contact.get_or(&report.incarnation.name, now));
        }
        for order in open_orders {
            scheduler.restore_order(table, &order, now);
        }
        scheduler.settle_restored(table);
        scheduler.adopt_moves(table, now);
        scheduler
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
        let ended = task.is_none_or(|task| task.last_run >= order.run);
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

    fn settle_restored(&mut self, table: &JobTable) {
        for slot in 0..self.workers.len() {
            self.record_lost_runs(slot, LossReason::Superseded);
        }
        let done: Vec<_> = table
            .jobs()
            .filter(|(_, job)| job.state().is_final())
            .map(|(id, _)| id)
            .collect();
        for job in done {
            self.stop_job(job);
        }
    }
}

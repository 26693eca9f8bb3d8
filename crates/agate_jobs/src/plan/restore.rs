//! Taking over from an earlier scheduling entry.

use agate_core::Moment;

use crate::plan::effect::Effect;
use crate::plan::last_contact::LastContact;
use crate::plan::scheduler::Scheduler;
use crate::plan::worker::Binding;
use crate::record::{Body, Order, OrderKind, Record, SuspicionRecord};
use crate::spec::StepSpec;
use crate::table::JobTable;

impl Scheduler {
    /// Builds the scheduler from the jobs and workers on record and from the standing orders.
    /// Silence of agents counts from the time at which they were last `heard` of.
    pub fn restore(
        table: &JobTable,
        orders: Vec<Record>,
        last_contact: &LastContact,
        now: Moment,
    ) -> Self {
        let mut scheduler = Self::default();
        for report in table.workers() {
            scheduler.report(report, last_contact.get_or(&report.incarnation.name, now));
        }
        let mut standing_orders = Vec::new();
        for record in orders {
            match record.body {
                Some(Body::Suspicion(suspicion)) => scheduler.adopt_standing(suspicion, now),
                Some(Body::Order(order)) => standing_orders.push(order),
                _ => {}
            }
        }
        for order in standing_orders {
            scheduler.adopt_order(table, &order);
        }
        scheduler.settle_adopted(table);
        scheduler
    }

    fn adopt_standing(&mut self, suspicion: SuspicionRecord, now: Moment) {
        let Some(slot) = self.slots.get(&suspicion.incarnation.name).copied() else {
            let name = suspicion.incarnation.name;
            let key = format!("s/{name}");
            self.effects.push(Effect::drop_order(&name, key));
            return;
        };
        let worker = &mut self.workers[slot];
        if suspicion.incarnation.started_ms == worker.suspicion.incarnation.started_ms {
            worker.suspected_at = suspicion.suspected.then_some(now);
            worker.suspicion = suspicion;
        }
    }

    fn adopt_order(&mut self, table: &JobTable, order: &Order) {
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
        };
        if let Some(old) = self.bindings.insert(order.task, binding.clone()) {
            self.workers[old.worker].release(order.task, &old);
        }
        self.workers[slot].bind(order.task, &binding);
    }

    fn settle_adopted(&mut self, table: &JobTable) {
        for slot in 0..self.workers.len() {
            self.lose(slot);
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

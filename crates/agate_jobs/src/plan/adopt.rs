//! Taking over from an earlier scheduling entry.

use agate_core::Moment;

use crate::book::Book;
use crate::plan::effect::Effect;
use crate::plan::heard::Heard;
use crate::plan::scheduler::Scheduler;
use crate::plan::worker::Binding;
use crate::record::{Body, Order, OrderKind, Record, Standing};
use crate::spec::StepSpec;

impl Scheduler {
    /// Builds the scheduler from the jobs and workers on record and from the standing orders.
    /// Silence of agents counts from the time at which they were last `heard` of.
    pub fn adopt(book: &Book, orders: Vec<Record>, heard: &Heard, now: Moment) -> Self {
        let mut scheduler = Self::default();
        for report in book.workers() {
            scheduler.report(report, heard.at(&report.life.name, now));
        }
        let mut standing_orders = Vec::new();
        for record in orders {
            match record.body {
                Some(Body::Standing(standing)) => scheduler.adopt_standing(standing, now),
                Some(Body::Order(order)) => standing_orders.push(order),
                _ => {}
            }
        }
        for order in standing_orders {
            scheduler.adopt_order(book, &order);
        }
        scheduler.settle_adopted(book);
        scheduler
    }

    fn adopt_standing(&mut self, standing: Standing, now: Moment) {
        let Some(slot) = self.slots.get(&standing.life.name).copied() else {
            let name = standing.life.name;
            let key = format!("s/{name}");
            self.effects.push(Effect::drop_order(&name, key));
            return;
        };
        let worker = &mut self.workers[slot];
        if standing.life.born == worker.standing.life.born {
            worker.suspected_at = standing.suspected.then_some(now);
            worker.standing = standing;
        }
    }

    fn adopt_order(&mut self, book: &Book, order: &Order) {
        let name = order.life.name.clone();
        let key = format!("r/{name}/{}", order.task);
        let job = book.job(order.task.job);
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
        let (demand, fills, estimate_ms, stopping) = match &order.kind {
            OrderKind::Start {
                demand,
                fills,
                estimate_ms,
                ..
            } => (*demand, *fills, *estimate_ms, false),
            OrderKind::Stop { demand, fills } => (*demand, *fills, 0, true),
        };
        let step = job.and_then(|job| job.step(order.task));
        let binding = Binding {
            run: order.run,
            worker: slot,
            term: (order.life.born, order.life.term),
            demand,
            fills,
            serving: step.map_or_else(String::new, StepSpec::serving_image),
            filling: step.map_or_else(String::new, StepSpec::filling_image),
            lasting: step.is_some_and(|step| step.lasting),
            estimate_ms,
            stopping,
        };
        if let Some(old) = self.bindings.insert(order.task, binding.clone()) {
            self.workers[old.worker].release(order.task, &old);
        }
        self.workers[slot].bind(order.task, &binding);
    }

    fn settle_adopted(&mut self, book: &Book) {
        for slot in 0..self.workers.len() {
            self.lose(slot);
        }
        let done: Vec<_> = book
            .jobs()
            .filter(|(_, job)| job.state().is_final())
            .map(|(id, _)| id)
            .collect();
        for job in done {
            self.stop_job(job);
        }
    }
}

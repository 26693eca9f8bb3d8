//! Orders to start runs that the log has refused.

use crate::loss::LossReason;
use crate::plan::effect::Effect;
use crate::plan::scheduler::Scheduler;
use crate::record::{Body, EndCause, Order, Record, RunEnd};

impl Scheduler {
    /// Ends the run of an order to start it that was never stored and never will be. Once the end is recorded,
    /// the task is bound again, under a number that no order has had.
    pub fn end_refused(&mut self, order: &Order) {
        let worker = &order.incarnation.name;
        let is_bound = self.bindings.get(&order.task).is_some_and(|binding| {
            let bound_to = &self.workers[binding.worker].report.incarnation.name;
            binding.run == order.run && bound_to == worker
        });
        if !is_bound {
            return;
        }
        self.effects
            .push(Effect::Main(Record::new(Body::Ended(RunEnd {
                task: order.task,
                run: order.run,
                cause: EndCause::Lost,
                checkpoint: String::new(),
                worker: worker.clone(),
                ran_ms: 0,
                loss: Some(LossReason::OrderRefused),
                crash: None,
            }))));
    }
}

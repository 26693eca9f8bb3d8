//! A book and a scheduler that are fed the same records.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::plan::{Effect, Placement, Scheduler};
use agate_jobs::record::Body;
use agate_jobs::{JobTable, Order, Record, SuspicionRecord, WorkerReport};

/// Lease of the workers in these tests.
pub(crate) const LEASE: Duration = Duration::from_secs(5);

#[derive(Default)]
pub(crate) struct Fleet {
    pub table: JobTable,
    pub scheduler: Scheduler,
    pub now: Moment,
    /// Every record that the scheduler asked for among the orders.
    pub orders: Vec<Record>,
}

impl Fleet {
    pub(crate) fn new(workers: &[WorkerReport]) -> Self {
        let mut fleet = Self::default();
        for report in workers {
            fleet.fold(Record::new(Body::Worker(report.clone())));
        }
        fleet
    }

    pub(crate) fn fold(&mut self, record: Record) {
        let change = self.table.fold(record);
        self.scheduler.apply(&self.table, &change, self.now);
        self.settle();
    }

    pub(crate) fn place(&mut self) -> Vec<Placement> {
        let placed = self.scheduler.place(&self.table, self.now, 1_000);
        self.settle();
        placed
    }

    pub(crate) fn pass(&mut self, time: Duration) {
        self.now = self.now + time;
        self.scheduler
            .update_suspicions(self.now, Moment::ZERO, LEASE);
        self.settle();
    }

    /// The standings that were recorded, oldest first.
    pub(crate) fn suspicions(&self) -> Vec<SuspicionRecord> {
        let bodies = self.orders.iter().filter_map(|record| record.body.clone());
        bodies
            .filter_map(|body| match body {
                Body::Suspicion(suspicion) => Some(suspicion),
                _ => None,
            })
            .collect()
    }

    /// The orders that were recorded, oldest first.
    pub(crate) fn issued(&self) -> Vec<Order> {
        let bodies = self.orders.iter().filter_map(|record| record.body.clone());
        bodies
            .filter_map(|body| match body {
                Body::Order(order) => Some(order),
                _ => None,
            })
            .collect()
    }

    /// Folds what the scheduler asks for, as the log would.
    fn settle(&mut self) {
        let mut effects = self.scheduler.take_effects();
        while !effects.is_empty() {
            for effect in std::mem::take(&mut effects) {
                match effect {
                    Effect::Main(record) => {
                        let change = self.table.fold(record);
                        self.scheduler.apply(&self.table, &change, self.now);
                    }
                    Effect::Order { record, .. } => {
                        if let Some(Body::Suspicion(suspicion)) = &record.body {
                            let (name, at) = (&suspicion.incarnation.name, self.now);
                            self.scheduler
                                .suspicion_recorded(name, suspicion.number, at);
                        }
                        self.orders.push(record);
                    }
                }
            }
            effects = self.scheduler.take_effects();
        }
    }
}

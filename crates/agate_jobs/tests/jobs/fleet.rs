//! A job table and a scheduler that are fed the same records.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::plan::{Effect, Known, LastContact, Placement, Restore, Scheduler, SuspicionTimes};
use agate_jobs::record::Body;
use agate_jobs::{
    JobTable, LeaderHeartbeat, Order, Record, Suspect, SuspicionRecord, WorkerReport,
};

/// Lease duration of the workers in these tests.
pub(crate) const LEASE: Duration = Duration::from_secs(5);

#[derive(Default)]
pub(crate) struct Fleet {
    pub table: JobTable,
    pub scheduler: Scheduler,
    pub now: Moment,
    /// Suspicions that the entry of the next leader has read in heartbeats.
    pub suspicion_times: SuspicionTimes,
    /// All records that the scheduler wrote to the order streams.
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
        self.apply_effects();
    }

    pub(crate) fn place(&mut self) -> Vec<Placement> {
        let placed = self.scheduler.place(&self.table, self.now, 1_000);
        self.apply_effects();
        placed
    }

    pub(crate) fn place_up_to(&mut self, limit: usize, wall_ms: u64) -> Vec<Placement> {
        let placed = self
            .scheduler
            .place_up_to(limit, &self.table, self.now, wall_ms);
        self.apply_effects();
        placed
    }

    pub(crate) fn advance(&mut self, time: Duration) {
        self.now = self.now + time;
        self.update_suspicions(Moment::ZERO);
    }

    /// Updates suspicions for a log that has been read without a gap since `reading_since`.
    pub(crate) fn update_suspicions(&mut self, reading_since: Moment) {
        self.scheduler
            .update_suspicions(self.now, reading_since, LEASE);
        self.apply_effects();
    }

    /// Replaces the scheduler by that of a new leader.
    pub(crate) fn take_over(&mut self) {
        let orders = self.newest_records();
        self.scheduler = self.restore(orders);
        self.apply_effects();
    }

    /// Restores a scheduler from `orders`, one item at a time.
    pub(crate) fn restore(&self, orders: Vec<Record>) -> Scheduler {
        let mut restore = Restore::new(&self.table, orders);
        while !self.restore_step(&mut restore) {}
        restore.finish(self.now)
    }

    /// Replaces the scheduler by that of a new leader, and folds a record before the step of this
    /// number of its restore. Returns whether there was such a step.
    pub(crate) fn take_over_during(&mut self, step: usize, record: &Record) -> bool {
        let mut restore = Restore::new(&self.table, self.newest_records());
        let mut changes = Vec::new();
        for number in 0.. {
            if number == step {
                changes.push(self.table.fold(record.clone()));
            }
            if self.restore_step(&mut restore) {
                break;
            }
        }
        self.scheduler = restore.finish(self.now);
        for change in &changes {
            self.scheduler.apply(&self.table, change, self.now);
        }
        self.apply_effects();
        !changes.is_empty()
    }

    fn restore_step(&self, restore: &mut Restore) -> bool {
        let known = Known {
            table: &self.table,
            last_contact: &LastContact::default(),
            suspicion_times: &self.suspicion_times,
        };
        restore.step(1, known, self.now)
    }

    /// Folds a heartbeat of the leader of `epoch` that lists its suspicions.
    pub(crate) fn send_heartbeat(&mut self, epoch: u64) {
        let suspects = self.scheduler.stored_suspicions(self.now);
        self.fold_heartbeat(epoch, suspects);
    }

    /// Folds a heartbeat that lists `suspects`.
    pub(crate) fn fold_heartbeat(&mut self, epoch: u64, suspects: Vec<Suspect>) {
        self.table.fold(Record::new(Body::Leader(LeaderHeartbeat {
            epoch,
            entry: format!("e{epoch}"),
            resigns: false,
            started_jobs: Vec::new(),
            suspects,
        })));
        self.suspicion_times.apply(self.table.leader(), self.now);
    }

    /// Makes `report` the newest one on its worker, as in a table that was loaded after the report
    /// had been recorded late.
    pub(crate) fn reload_worker(&mut self, report: WorkerReport) {
        let key = format!("w/{}", report.incarnation.name);
        self.table.fold(Record::tombstone(key));
        self.table.fold(Record::new(Body::Worker(report)));
    }

    /// Returns the newest record of each key of the order streams, oldest first.
    fn newest_records(&self) -> Vec<Record> {
        let mut newest: Vec<Record> = Vec::new();
        for record in &self.orders {
            newest.retain(|known| known.key != record.key);
            newest.push(record.clone());
        }
        newest.retain(|record| record.body.is_some());
        newest
    }

    /// Returns the orders that have not been dropped.
    pub(crate) fn newest_orders(&self) -> Vec<Order> {
        let records = self.newest_records().into_iter();
        records
            .filter_map(|record| match record.body {
                Some(Body::Order(order)) => Some(order),
                _ => None,
            })
            .collect()
    }

    /// Returns the recorded suspicions, oldest first.
    pub(crate) fn suspicions(&self) -> Vec<SuspicionRecord> {
        let bodies = self.orders.iter().filter_map(|record| record.body.clone());
        bodies
            .filter_map(|body| match body {
                Body::Suspicion(suspicion) => Some(suspicion),
                _ => None,
            })
            .collect()
    }

    /// Returns the recorded orders, oldest first.
    pub(crate) fn issued_orders(&self) -> Vec<Order> {
        let bodies = self.orders.iter().filter_map(|record| record.body.clone());
        bodies
            .filter_map(|body| match body {
                Body::Order(order) => Some(order),
                _ => None,
            })
            .collect()
    }

    /// Records a part of the scheduler's effects, those whose bit is set in `recorded`, and replaces the
    /// scheduler by that of a new leader.
    pub(crate) fn lose_leader(&mut self, recorded: u64) {
        let effects = self.scheduler.take_effects().into_iter();
        let kept = (0_u64..).zip(effects);
        let kept = kept.filter(|(at, _)| recorded & (1 << (at % 64)) != 0);
        for (_, effect) in kept {
            match effect {
                Effect::Main(record) => drop(self.table.fold(record)),
                Effect::Order { record, .. } => self.orders.push(record),
            }
        }
        self.take_over();
    }

    /// Folds the scheduler's effects as if they had passed through the log.
    fn apply_effects(&mut self) {
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
                            self.scheduler.suspicion_recorded(suspicion, self.now);
                        }
                        self.orders.push(record);
                    }
                }
            }
            effects = self.scheduler.take_effects();
        }
    }
}

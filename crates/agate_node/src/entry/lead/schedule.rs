//! Scheduling while this entry leads.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{Moment, clock as wall};
use agate_jobs::plan::{Effect, Placement, Scheduler};
use agate_jobs::record::Body;
use agate_jobs::{Record, lease};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{HEARTBEAT_PERIOD, backlog, heartbeat_record};
use crate::clock;
use crate::entry::Entry;
use crate::entry::writers::{Outcome, StreamWriters};
use crate::metrics::Event;
use crate::store::{Stream, order_stream};

/// Longest time between two scheduling steps while leading.
const SCHEDULE_PERIOD: Duration = Duration::from_millis(100);

/// Age of the newest recorded heartbeat from which on nothing more is placed.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(1_500);

/// Extra time for which the state of a closed job is kept, since clocks differ.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// Time allowed for the last records on resignation.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(800);

fn log_lost_run(record: &Record) {
    let Some(Body::Ended(end)) = &record.body else {
        return;
    };
    log::warn!(
        event = "run_lost", task:% = end.task, run = end.run, worker = end.worker.as_str();
        "its worker is gone or its lease has lapsed"
    );
}

/// The state of an entry that leads.
pub(super) struct Leadership {
    pub entry: Arc<Entry>,
    pub epoch: u64,
    pub scheduler: Scheduler,
    pub writers: StreamWriters,
    pub heartbeat_at: Moment,
    pub heartbeat_recorded_at: Moment,
}

impl Leadership {
    /// Schedules until another entry takes over (returns `true`) or `stop` is cancelled (returns
    /// `false`).
    pub async fn run(
        mut self,
        mut outcomes: UnboundedReceiver<Outcome>,
        stop: &CancellationToken,
    ) -> bool {
        let entry = Arc::clone(&self.entry);
        loop {
            tokio::select! {
                () = stop.cancelled() => {
                    self.resign().await;
                    return false;
                }
                () = entry.changed.notified() => {}
                () = sleep(SCHEDULE_PERIOD) => {}
                Some(outcome) = outcomes.recv() => {
                    if self.handle_outcome(outcome) {
                        return true;
                    }
                    continue;
                }
            }
            if self.is_superseded() {
                return true;
            }
            self.step();
        }
    }

    fn is_superseded(&self) -> bool {
        let view = self.entry.view();
        !view.is_leader || view.job_table.leader().epoch > self.epoch
    }

    /// Returns whether another entry has taken over.
    fn handle_outcome(&mut self, outcome: Outcome) -> bool {
        let now = clock::now();
        match outcome {
            Outcome::HeartbeatRecorded => self.heartbeat_recorded_at = now,
            Outcome::SuspicionRecorded(worker, number) => {
                self.scheduler.suspicion_recorded(&worker, number, now);
            }
            Outcome::Deposed(stream) => {
                log::warn!(event = "leader_deposed", epoch = self.epoch, lane:% = stream; "");
                return true;
            }
        }
        false
    }

    fn step(&mut self) {
        let now = clock::now();
        let wall_ms = wall::wall_millis();
        let placed = self.decide(now, wall_ms);
        for placed in placed {
            self.entry.context.metrics.count(Event::TaskBound);
            log::info!(
                event = "task_bound", task:% = placed.task, run = placed.run,
                worker = placed.worker.as_str(), epoch = self.epoch,
                offset = *self.entry.folded.borrow(); ""
            );
        }
        if let Some(summary) = self.scheduler.take_backlog_summary() {
            backlog::report(&self.entry.context.metrics, &summary);
        }
        if now.since(self.heartbeat_at) >= HEARTBEAT_PERIOD {
            self.heartbeat_at = now;
            if now.since(self.heartbeat_recorded_at) < MAX_HEARTBEAT_AGE {
                self.close_jobs(wall_ms);
            }
            let started_jobs = self.scheduler.take_started_jobs();
            let record = heartbeat_record(&self.entry, self.epoch, started_jobs, false);
            self.writers.write(Stream::Main, record);
        }
        self.write_effects();
    }

    fn decide(&mut self, now: Moment, wall_ms: u64) -> Vec<Placement> {
        let entry = Arc::clone(&self.entry);
        let mut view = entry.view();
        for change in std::mem::take(&mut view.pending_changes) {
            self.scheduler.apply(&view.job_table, &change, now);
        }
        let since = view.reading.unbroken_since(now);
        let current = since < now && now.since(self.heartbeat_recorded_at) < MAX_HEARTBEAT_AGE;
        if !current {
            return Vec::new();
        }
        let lease = lease::duration(entry.context.max_lease);
        self.scheduler.update_suspicions(now, since, lease);
        self.scheduler.place(&view.job_table, now, wall_ms)
    }

    /// Replaces the records of each finished job by a single one, and deletes that after the
    /// retention time.
    fn close_jobs(&mut self, wall_ms: u64) {
        let entry = Arc::clone(&self.entry);
        let view = entry.view();
        for (id, job) in view.job_table.jobs() {
            let state = job.state();
            if !state.is_final() || self.scheduler.is_bound(id) {
                continue;
            }
            self.writers.write(
                Stream::Main,
                Record::new(Body::Closed {
                    job: id,
                    queue: job.policy.queue.clone(),
                    state,
                    at_ms: wall_ms,
                }),
            );
            for key in view.job_table.end_keys(id) {
                self.delete_key(key.clone());
            }
            self.delete_key(format!("j/{id}"));
            self.delete_key(format!("c/{id}"));
        }
        let retention = clock::millis(entry.context.state_retention + RETENTION_MARGIN);
        for id in view
            .job_table
            .closed_before(wall_ms.saturating_sub(retention))
        {
            self.delete_key(format!("d/{id}"));
        }
    }

    fn delete_key(&mut self, key: String) {
        self.writers.write(Stream::Main, Record::tombstone(key));
    }

    fn write_effects(&mut self) {
        let streams = self.entry.context.log.order_streams();
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Main(record) => {
                    log_lost_run(&record);
                    self.writers.write(Stream::Main, record);
                }
                Effect::Order { worker, record } => {
                    self.log_suspicion(&record);
                    self.writers.write(order_stream(&worker, streams), record);
                }
            }
        }
    }

    fn log_suspicion(&self, record: &Record) {
        let Some(Body::Suspicion(suspicion)) = &record.body else {
            return;
        };
        if suspicion.suspected {
            self.entry.context.metrics.count(Event::WorkerSuspected);
        }
        log::info!(
            event = "worker_standing", worker:% = suspicion.incarnation,
            suspicion = suspicion.number, suspected = suspicion.suspected, epoch = self.epoch; ""
        );
    }

    async fn resign(mut self) {
        let started_jobs = self.scheduler.take_started_jobs();
        let record = heartbeat_record(&self.entry, self.epoch, started_jobs, true);
        self.writers.write(Stream::Main, record);
        if tokio::time::timeout(RESIGN_TIMEOUT, self.writers.finish())
            .await
            .is_err()
        {
            log::warn!(event = "resign_unfinished", epoch = self.epoch; "others take over later");
        }
    }
}

//! Scheduling while this entry leads.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{Moment, clock as wall};
use agate_jobs::plan::{Effect, Pause, Pauses, Placement, Scheduler, Trust};
use agate_jobs::record::Body;
use agate_jobs::{LeaderHeartbeat, Record, lease};
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::{
    HEARTBEAT_PERIOD, RESIGN_TIMEOUT, backlog, crashes, heartbeat, restarts, waits, zones,
};
use crate::clock;
use crate::entry::Entry;
use crate::entry::writers::{Outcome, StreamWriters};
use crate::metrics::Event;
use crate::store::{Stream, order_stream};

/// Longest time between two scheduling steps while leading.
const SCHEDULE_PERIOD: Duration = Duration::from_millis(100);

/// Number of records that may be in flight while more tasks are placed, 0.2 s of a link of 10 Mbit/s.
/// After a loss of power all tasks are placed at once, and the leader's heartbeats would
/// wait behind their orders until another entry takes over.
const MAX_IN_FLIGHT: usize = 200;

/// Age of the newest recorded heartbeat from which on nothing more is placed.
const MAX_HEARTBEAT_AGE: Duration = Duration::from_millis(1_500);

/// Most cancellations of unknown jobs that are dropped at a time, so that a flood of them doesn't hold up
/// other records.
const MAX_DROPPED_CANCELS: usize = 500;

/// Extra time for which the state of a closed job is kept, since clocks differ.
const RETENTION_MARGIN: Duration = Duration::from_secs(30);

/// The state of an entry that leads.
pub(super) struct Leadership {
    pub entry: Arc<Entry>,
    pub epoch: u64,
    pub scheduler: Scheduler,
    pub writers: StreamWriters,
    /// When the state was restored. Suspicions are raised without waiting for the first heartbeat.
    pub taken_at: Moment,
    pub heartbeat_at: Moment,
    /// Heartbeats that were written before the restore and whose outcome has not been handled.
    pub takeover_heartbeats: u32,
    /// When the newest heartbeat since the restore was recorded. Nothing is placed before the first
    /// one is: that may take over a second on a slow machine, and the other entries count the silence
    /// meanwhile.
    pub heartbeat_recorded_at: Option<Moment>,
    /// Since when a suspicion has been stored that no heartbeat lists yet.
    pub unlisted_since: Option<Moment>,
    /// How long nothing has been placed.
    pub pauses: Pauses,
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
        self.write_heartbeat();
        loop {
            tokio::select! {
                () = stop.cancelled() => {
                    self.resign().await;
                    return false;
                }
                () = entry.changed.notified() => {}
                () = sleep(SCHEDULE_PERIOD) => {}
                Some(outcome) = outcomes.recv() => {
                    let was_unconfirmed = self.heartbeat_recorded_at.is_none();
                    if self.handle_outcome(outcome) {
                        return true;
                    }
                    // The first placement waits only for the first heartbeat.
                    let is_first = was_unconfirmed && self.heartbeat_recorded_at.is_some();
                    if !is_first {
                        continue;
                    }
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
            // Heartbeats are recorded in order, so those of the takeover come first.
            Outcome::HeartbeatRecorded if self.takeover_heartbeats > 0 => {
                self.takeover_heartbeats -= 1;
            }
            Outcome::HeartbeatRecorded => self.heartbeat_recorded_at = Some(now),
            Outcome::SuspicionRecorded(suspicion) => {
                if self.scheduler.suspicion_recorded(&suspicion, now) {
                    self.unlisted_since.get_or_insert(now);
                }
            }
            Outcome::OrdersRefused(orders) => {
                for order in &orders {
                    self.scheduler.end_refused(order);
                }
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
        zones::update(&self.entry, &mut self.scheduler);
        let decided = self.decide(now, wall_ms);
        zones::report(&self.entry, &mut self.scheduler, self.epoch);
        let pause = decided.as_ref().err().copied();
        let due = self.pauses.update(pause, now);
        if let Some((pause, lasted)) = due {
            waits::report_pause(&self.entry, &self.scheduler, (pause, lasted), wall_ms);
        }
        for placed in decided.unwrap_or_default() {
            self.report_placement(&placed);
        }
        restarts::report(&self.entry, &mut self.scheduler);
        waits::report(&self.entry, &mut self.scheduler, now);
        waits::report_unstarted(&self.entry, &mut self.scheduler, now);
        if pause.is_none() {
            waits::report_short(&self.entry, &mut self.scheduler, now, wall_ms);
        }
        if let Some(summary) = self.scheduler.take_backlog_summary() {
            backlog::report(&self.entry.context.metrics, &summary);
        }
        if now.since(self.heartbeat_at) >= HEARTBEAT_PERIOD {
            self.heartbeat_at = now;
            if self.is_heartbeat_recent(now) {
                self.close_jobs(wall_ms);
            }
            self.write_heartbeat();
        } else if self.has_suspicions_to_list(now) {
            self.write_heartbeat();
        }
        self.write_effects();
    }

    fn is_heartbeat_recent(&self, now: Moment) -> bool {
        let recorded_at = self.heartbeat_recorded_at;
        recorded_at.is_some_and(|at| now.since(at) < MAX_HEARTBEAT_AGE)
    }

    /// Returns whether to list new suspicions before the next regular heartbeat. A successor counts
    /// their expiry from the heartbeat that lists them, so each wait adds to it.
    fn has_suspicions_to_list(&self, now: Moment) -> bool {
        let since = self.unlisted_since;
        since.is_some_and(|since| now.since(since) >= SCHEDULE_PERIOD)
    }

    fn write_heartbeat(&mut self) {
        self.unlisted_since = None;
        let heartbeat = self.heartbeat();
        self.writers
            .write(Stream::Main, Record::new(Body::Leader(heartbeat)));
    }

    fn heartbeat(&mut self) -> LeaderHeartbeat {
        LeaderHeartbeat {
            started_jobs: self.scheduler.take_started_jobs(),
            suspects: self.scheduler.stored_suspicions(clock::now()),
            ..heartbeat(&self.entry, self.epoch)
        }
    }

    /// Returns what has been placed, or why nothing may be.
    fn decide(&mut self, now: Moment, wall_ms: u64) -> Result<Vec<Placement>, Pause> {
        let entry = Arc::clone(&self.entry);
        let mut view = entry.view();
        for change in std::mem::take(&mut view.pending_changes) {
            crashes::report(&entry.context.metrics, &view.job_table, &change);
            self.scheduler.apply(&view.job_table, &change, now);
        }
        let since = view.reading.unbroken_since(now);
        let confirmed_at = self.heartbeat_recorded_at.unwrap_or(self.taken_at);
        if since >= now {
            return Err(Pause::LogUnread);
        }
        if now.since(confirmed_at) >= MAX_HEARTBEAT_AGE {
            return Err(Pause::HeartbeatOld);
        }
        let lease = lease::duration(entry.context.max_lease);
        self.scheduler.update_suspicions(now, since, lease);
        if self.heartbeat_recorded_at.is_none() {
            return Err(Pause::HeartbeatUnrecorded);
        }
        if !self.scheduler.knows_zones() {
            return Err(Pause::ZonesUnread);
        }
        let streams = entry.context.log.order_streams();
        let held = self.writers.held();
        self.scheduler.hold_orders(|worker| {
            !held.is_empty() && held.contains(&order_stream(worker, streams))
        });
        let limit = MAX_IN_FLIGHT.saturating_sub(self.writers.in_flight());
        let placed = self
            .scheduler
            .place_up_to(limit, &view.job_table, now, wall_ms);
        if limit == 0 {
            return Err(Pause::RecordsInFlight);
        }
        Ok(placed)
    }

    /// Replaces the records of each finished job by a single one, and deletes that after the retention
    /// time, as it does with cancellations of unknown jobs.
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
        let oldest_ms = wall_ms.saturating_sub(retention);
        let cancelled = view.job_table.cancelled_before(oldest_ms);
        for id in cancelled.into_iter().take(MAX_DROPPED_CANCELS) {
            self.delete_key(format!("c/{id}"));
        }
        for id in view.job_table.closed_before(oldest_ms) {
            if view.job_table.has_stale_submission(id) {
                self.delete_key(format!("j/{id}"));
            }
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
                    self.report_lost_run(&record);
                    self.writers.write(Stream::Main, record);
                }
                Effect::Order { worker, record } => {
                    self.log_suspicion(&record);
                    self.writers.write(order_stream(&worker, streams), record);
                }
            }
        }
    }

    fn report_placement(&self, placed: &Placement) {
        let metrics = &self.entry.context.metrics;
        metrics.count(Event::TaskBound);
        log::info!(
            event = "task_bound", task:% = placed.task, run = placed.run,
            worker = placed.worker.as_str(), epoch = self.epoch,
            offset = *self.entry.folded.borrow(); ""
        );
        if placed.trust != Trust::Full {
            metrics.count(Event::WorkerProbed);
            log::info!(
                event = "worker_probed", worker = placed.worker.as_str(), trust:% = placed.trust,
                task:% = placed.task, run = placed.run; ""
            );
        }
    }

    fn report_lost_run(&self, record: &Record) {
        let Some(Body::Ended(end)) = &record.body else {
            return;
        };
        self.entry.context.metrics.count(Event::RunLost);
        log::warn!(
            event = "run_lost", task:% = end.task, run = end.run, worker = end.worker.as_str(),
            reason:% = end.loss.map(|loss| loss.to_string()).unwrap_or_default(); ""
        );
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
        let heartbeat = LeaderHeartbeat {
            resigns: true,
            ..self.heartbeat()
        };
        self.writers
            .write(Stream::Main, Record::new(Body::Leader(heartbeat)));
        if tokio::time::timeout(RESIGN_TIMEOUT, self.writers.finish())
            .await
            .is_err()
        {
            log::warn!(event = "resign_unfinished", epoch = self.epoch; "others take over later");
        }
    }
}

//! Taking over scheduling, and scheduling while this entry leads.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{Moment, clock as wall};
use agate_jobs::plan::{Effect, Placed, Scheduler};
use agate_jobs::record::Body;
use agate_jobs::{LeaderBeat, Record, lease};
use futures::stream::{self, StreamExt as _, TryStreamExt as _};
use rand::Rng as _;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::Entry;
use super::follow;
use super::orders::{Outcome, Writers};
use crate::clock;
use crate::metrics::Event;
use crate::store::{AppendError, Fence, ORDER_STREAMS, Stream, order_stream};

/// Time between two signs of life.
const BEAT: Duration = Duration::from_millis(500);

/// Silence after which another entry takes over. Leaves room for a beat that the log answers sixty
/// times slower than usual (0.24 s).
const TAKEOVER: Duration = Duration::from_millis(1_700);

/// Upper bound of a random delay that keeps entries from taking over at the same moment.
const TAKEOVER_SPREAD: Duration = Duration::from_millis(300);

/// How often the silence of the leader is checked.
const CHECK: Duration = Duration::from_millis(100);

/// How often due times and silent agents are checked while leading.
const TICK: Duration = Duration::from_millis(100);

/// Age of the newest recorded sign of life at which nothing more is placed.
const BEAT_AGE: Duration = Duration::from_millis(1_500);

/// Order lanes that are read at the same time while taking over.
const TAKEOVER_CALLS: usize = 12;

/// Attempts to read one lane while taking over.
const TAKEOVER_TRIES: u32 = 20;

/// Pause between these attempts.
const TAKEOVER_PAUSE: Duration = Duration::from_millis(50);

/// Extra time for which a closed job's state is kept, for clocks that differ.
const KEEP_MARGIN: Duration = Duration::from_secs(30);

/// Time that the last records get when scheduling is given up.
const RESIGN_TIME: Duration = Duration::from_millis(800);

/// Leads whenever no other entry does, until `stop` is cancelled.
pub(super) async fn run(entry: Arc<Entry>, stop: CancellationToken) {
    entry.view().leads = false;
    while !stop.is_cancelled() {
        let spread = rand::rng().random_range(Duration::ZERO..TAKEOVER_SPREAD);
        tokio::select! {
            () = stop.cancelled() => return,
            () = vacancy(&entry, spread) => {}
        }
        if let Some((epoch, sequence)) = claim(&entry).await {
            lead(&entry, epoch, sequence, &stop).await;
        }
    }
}

/// Waits until no entry gives signs of life.
async fn vacancy(entry: &Entry, spread: Duration) {
    let mut vacant = Duration::ZERO;
    loop {
        sleep(CHECK).await;
        let now = clock::now();
        let view = entry.view();
        let reading = view.synced && view.reading.since(now) < now;
        let leader = &view.book.leader().entry;
        let resigned = leader.is_empty() || *leader == entry.context.name;
        let since = view.leader_seen.max(view.reading.since(now));
        let silent = view.reading.last().since(since) > TAKEOVER + spread;
        drop(view);
        vacant = if reading && resigned {
            vacant + CHECK
        } else {
            Duration::ZERO
        };
        if reading && (silent || vacant > spread) {
            return;
        }
    }
}

/// Raises the epoch of the main lane. Returns the epoch and the number of the append if this entry
/// is the first to do so.
async fn claim(entry: &Entry) -> Option<(u64, u64)> {
    let epoch = entry.view().book.leader().epoch + 1;
    let sequence = rand::rng().random_range(1..u64::from(u32::MAX));
    let record = beat(entry, epoch, Vec::new(), false);
    let value = match record.value() {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "record_unwritable", cause:% = error; "");
            return None;
        }
    };
    let records = [(record.key, value)];
    let mut last = AppendError::NotDone("not tried".to_owned());
    for _ in 0..TAKEOVER_TRIES {
        let fence = Some(Fence { epoch, sequence });
        match entry
            .context
            .log
            .append(Stream::Main, &records, fence)
            .await
        {
            Ok(_) => return Some((epoch, sequence)),
            Err(AppendError::Fenced | AppendError::OutOfSequence(_)) => {
                log::info!(event = "claim_lost", epoch = epoch; "another entry was faster");
                sleep(BEAT).await;
                return None;
            }
            Err(error) => {
                last = error;
                sleep(TAKEOVER_PAUSE).await;
            }
        }
    }
    log::warn!(event = "claim_failed", epoch = epoch, cause:% = last; "");
    None
}

fn beat(entry: &Entry, epoch: u64, begun: Vec<agate_core::JobId>, resigns: bool) -> Record {
    Record::new(Body::Leader(LeaderBeat {
        epoch,
        entry: entry.context.name.clone(),
        resigns,
        begun,
    }))
}

async fn lead(entry: &Arc<Entry>, epoch: u64, sequence: u64, stop: &CancellationToken) {
    let began = Instant::now();
    let (mut writers, outcomes) = Writers::new(Arc::clone(entry), epoch);
    writers.open(Stream::Main, sequence);
    let taken = tokio::select! {
        taken = take_over(entry, epoch) => taken,
        () = beat_on(entry, epoch, &writers) => return,
        () = stop.cancelled() => return,
    };
    let orders = match taken {
        Ok(orders) => orders,
        Err(error) => {
            log::warn!(event = "takeover_failed", epoch = epoch, cause:% = error; "");
            return;
        }
    };
    for lane in 0..ORDER_STREAMS {
        writers.open(Stream::Orders(lane), 0);
    }
    let now = clock::now();
    let scheduler = {
        let mut view = entry.view();
        let view = &mut *view;
        view.leads = true;
        view.changes.clear();
        view.heard.prune(&view.book);
        Scheduler::adopt(&view.book, orders, &view.heard, now)
    };
    entry.context.metrics.count(Event::LeaderTaken);
    log::info!(
        event = "leader_taken", epoch = epoch, runs = scheduler.bound_runs(),
        took_ms = clock::millis(began.elapsed()); ""
    );
    let leading = Leading {
        entry: Arc::clone(entry),
        epoch,
        scheduler,
        writers,
        beat_at: now,
        recorded_at: now,
    };
    let deposed = leading.run(outcomes, stop).await;
    entry.view().leads = false;
    if deposed {
        entry.context.metrics.count(Event::LeaderLost);
    }
    log::info!(event = "leader_left", epoch = epoch, deposed = deposed; "");
}

/// Takes the lanes over and reads up to the own claim.
async fn take_over(entry: &Entry, epoch: u64) -> Result<Vec<Record>, AppendError> {
    let orders = take_lanes(entry, epoch).await?;
    if read_own_claim(entry, epoch).await {
        return Ok(orders);
    }
    let cause = "the claim was not read in time, or another entry has taken over";
    Err(AppendError::NotDone(cause.to_owned()))
}

/// Gives signs of life while the lanes are taken over, which may take longer than the silence
/// after which another entry would do the same.
async fn beat_on(entry: &Entry, epoch: u64, writers: &Writers) {
    loop {
        sleep(BEAT).await;
        writers.write(Stream::Main, beat(entry, epoch, Vec::new(), false));
    }
}

/// Shuts earlier entries out of every order lane and reads the standing orders.
async fn take_lanes(entry: &Entry, epoch: u64) -> Result<Vec<Record>, AppendError> {
    let lanes =
        stream::iter(0..ORDER_STREAMS).map(|lane| take_lane(entry, Stream::Orders(lane), epoch));
    let records: Vec<Vec<Record>> = lanes.buffer_unordered(TAKEOVER_CALLS).try_collect().await?;
    Ok(records.into_iter().flatten().collect())
}

async fn take_lane(entry: &Entry, lane: Stream, epoch: u64) -> Result<Vec<Record>, AppendError> {
    let fence = Some(Fence { epoch, sequence: 0 });
    let log = &entry.context.log;
    let mut last = AppendError::NotDone("not tried".to_owned());
    for _ in 0..TAKEOVER_TRIES {
        match log.append(lane, &[], fence).await {
            Ok(_) => match log.newest(lane).await {
                Ok(newest) => {
                    return Ok(newest
                        .records
                        .into_iter()
                        .filter_map(follow::parse)
                        .collect());
                }
                Err(error) => last = AppendError::NotDone(error.to_string()),
            },
            Err(AppendError::Fenced) => return Err(AppendError::Fenced),
            Err(error) => last = error,
        }
        sleep(TAKEOVER_PAUSE).await;
    }
    Err(last)
}

/// Waits until the record with which this entry claimed the epoch is folded.
async fn read_own_claim(entry: &Entry, epoch: u64) -> bool {
    let mut folded = entry.folded.subscribe();
    let claimed = folded.wait_for(|_| entry.view().book.leader().epoch >= epoch);
    let read = tokio::time::timeout(TAKEOVER, claimed).await;
    drop(read);
    let view = entry.view();
    let leader = view.book.leader();
    leader.epoch == epoch && leader.entry == entry.context.name
}

fn log_lost(record: &Record) {
    let Some(Body::Ended(end)) = &record.body else {
        return;
    };
    log::warn!(
        event = "run_lost", task:% = end.task, run = end.run, worker = end.worker.as_str();
        "its worker is gone or its lease has lapsed"
    );
}

struct Leading {
    entry: Arc<Entry>,
    epoch: u64,
    scheduler: Scheduler,
    writers: Writers,
    beat_at: Moment,
    recorded_at: Moment,
}

impl Leading {
    /// Schedules until another entry takes over (`true`) or `stop` is cancelled (`false`).
    async fn run(
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
                () = entry.news.notified() => {}
                () = sleep(TICK) => {}
                Some(outcome) = outcomes.recv() => {
                    if self.take_outcome(outcome) {
                        return true;
                    }
                    continue;
                }
            }
            if self.superseded() {
                return true;
            }
            self.step();
        }
    }

    fn superseded(&self) -> bool {
        let view = self.entry.view();
        !view.leads || view.book.leader().epoch > self.epoch
    }

    /// Returns whether another entry has taken over.
    fn take_outcome(&mut self, outcome: Outcome) -> bool {
        let now = clock::now();
        match outcome {
            Outcome::Beat => self.recorded_at = now,
            Outcome::Standing(worker, suspicion) => {
                self.scheduler.standing_recorded(&worker, suspicion, now);
            }
            Outcome::Deposed(lane) => {
                log::warn!(event = "leader_deposed", epoch = self.epoch, lane:% = lane; "");
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
        if now.since(self.beat_at) >= BEAT {
            self.beat_at = now;
            if now.since(self.recorded_at) < BEAT_AGE {
                self.close_jobs(wall_ms);
            }
            let begun = self.scheduler.take_begun();
            let record = beat(&self.entry, self.epoch, begun, false);
            self.writers.write(Stream::Main, record);
        }
        self.write_effects();
    }

    fn decide(&mut self, now: Moment, wall_ms: u64) -> Vec<Placed> {
        let entry = Arc::clone(&self.entry);
        let mut view = entry.view();
        for change in std::mem::take(&mut view.changes) {
            self.scheduler.take(&view.book, &change, now);
        }
        let since = view.reading.since(now);
        let current = since < now && now.since(self.recorded_at) < BEAT_AGE;
        if !current {
            return Vec::new();
        }
        let lease = lease::length(entry.context.max_lease);
        self.scheduler.watch(now, since, lease);
        self.scheduler.place(&view.book, now, wall_ms)
    }

    /// Replaces the records of jobs in their final state by one each, and drops those in time.
    fn close_jobs(&mut self, wall_ms: u64) {
        let entry = Arc::clone(&self.entry);
        let view = entry.view();
        for (id, job) in view.book.jobs() {
            let state = job.state();
            if !state.is_final() || self.scheduler.is_bound(id) {
                continue;
            }
            self.writers.write(
                Stream::Main,
                Record::new(Body::Closed {
                    job: id,
                    queue: job.terms.queue.clone(),
                    state,
                    at_ms: wall_ms,
                }),
            );
            for key in view.book.end_keys(id) {
                self.drop_key(key.clone());
            }
            self.drop_key(format!("j/{id}"));
            self.drop_key(format!("c/{id}"));
        }
        let keep = clock::millis(entry.context.state_retention + KEEP_MARGIN);
        for id in view.book.closed_before(wall_ms.saturating_sub(keep)) {
            self.drop_key(format!("d/{id}"));
        }
    }

    fn drop_key(&self, key: String) {
        self.writers.write(Stream::Main, Record::dropping(key));
    }

    fn write_effects(&mut self) {
        for effect in self.scheduler.take_effects() {
            match effect {
                Effect::Main(record) => {
                    log_lost(&record);
                    self.writers.write(Stream::Main, record);
                }
                Effect::Order { worker, record } => {
                    self.log_standing(&record);
                    self.writers.write(order_stream(&worker), record);
                }
            }
        }
    }

    fn log_standing(&self, record: &Record) {
        let Some(Body::Standing(standing)) = &record.body else {
            return;
        };
        if standing.suspected {
            self.entry.context.metrics.count(Event::WorkerSuspected);
        }
        log::info!(
            event = "worker_standing", worker:% = standing.life, suspicion = standing.suspicion,
            suspected = standing.suspected, epoch = self.epoch; ""
        );
    }

    async fn resign(mut self) {
        let begun = self.scheduler.take_begun();
        let record = beat(&self.entry, self.epoch, begun, true);
        self.writers.write(Stream::Main, record);
        if tokio::time::timeout(RESIGN_TIME, self.writers.finish())
            .await
            .is_err()
        {
            log::warn!(event = "resign_unfinished", epoch = self.epoch; "others take over later");
        }
    }
}

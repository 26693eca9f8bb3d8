//! Leader election, and scheduling while this entry leads.

mod backlog;
mod election;
mod schedule;
mod takeover;

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::plan::Scheduler;
use agate_jobs::record::Body;
use agate_jobs::{LeaderHeartbeat, Record};
use rand::Rng as _;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use self::schedule::Leadership;
use super::Entry;
use super::follow;
use super::writers::StreamWriters;
use crate::clock;
use crate::metrics::Event;
use crate::store::Stream;

/// Time between heartbeats of the leader.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Silence of the leader after which another entry takes over. Allows for a heartbeat that the log
/// takes 0.24 s to record, sixty times longer than usual.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Upper bound of the random delay that keeps entries from taking over at the same moment.
const TAKEOVER_JITTER: Duration = Duration::from_millis(300);

/// Attempts at each call to the log during a takeover.
const MAX_TAKEOVER_ATTEMPTS: u32 = 20;

/// Pause between these attempts.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Leads whenever no other entry does, until `stop` is cancelled.
pub(super) async fn run(entry: Arc<Entry>, stop: CancellationToken) {
    entry.view().is_leader = false;
    while !stop.is_cancelled() {
        let jitter = rand::rng().random_range(Duration::ZERO..TAKEOVER_JITTER);
        tokio::select! {
            () = stop.cancelled() => return,
            () = election::wait_for_vacancy(&entry, jitter) => {}
        }
        if let Some((epoch, sequence)) = election::claim(&entry).await {
            lead(&entry, epoch, sequence, &stop).await;
        }
    }
}

fn heartbeat_record(
    entry: &Entry,
    epoch: u64,
    started_jobs: Vec<agate_core::JobId>,
    resigns: bool,
) -> Record {
    Record::new(Body::Leader(LeaderHeartbeat {
        epoch,
        entry: entry.context.name.clone(),
        resigns,
        started_jobs,
    }))
}

async fn lead(entry: &Arc<Entry>, epoch: u64, sequence: u64, stop: &CancellationToken) {
    let began = Instant::now();
    let (mut writers, outcomes) = StreamWriters::new(Arc::clone(entry), epoch);
    writers.open(Stream::Main, sequence);
    entry.view().takes_over = true;
    let taken = tokio::select! {
        taken = takeover::take_over(entry, epoch) => taken,
        () = takeover::send_heartbeats(entry, epoch, &mut writers) => return,
        () = stop.cancelled() => return,
    };
    entry.view().takes_over = false;
    let orders = match taken {
        Ok(orders) => orders,
        Err(error) => {
            log::warn!(event = "takeover_failed", epoch = epoch, cause:% = error; "");
            return;
        }
    };
    let now = clock::now();
    let mut scheduler = {
        let mut view = entry.view();
        let view = &mut *view;
        view.is_leader = true;
        view.pending_changes.clear();
        view.last_contact.prune(&view.job_table);
        Scheduler::restore(&view.job_table, orders, &view.last_contact, now)
    };
    scheduler.set_batch_order(entry.context.batch_order);
    // The first placement may take over a second on a slow machine, and the other entries count
    // the leader's silence meanwhile.
    writers.write(
        Stream::Main,
        heartbeat_record(entry, epoch, Vec::new(), false),
    );
    entry.context.metrics.count(Event::LeaderTaken);
    log::info!(
        event = "leader_taken", epoch = epoch, runs = scheduler.bound_runs(),
        took_ms = clock::millis(began.elapsed()); ""
    );
    let leadership = Leadership {
        entry: Arc::clone(entry),
        epoch,
        scheduler,
        writers,
        heartbeat_at: now,
        heartbeat_recorded_at: now,
    };
    let deposed = leadership.run(outcomes, stop).await;
    entry.context.metrics.backlog.clear();
    entry.view().is_leader = false;
    if deposed {
        entry.context.metrics.count(Event::LeaderLost);
    }
    log::info!(event = "leader_left", epoch = epoch, deposed = deposed; "");
}

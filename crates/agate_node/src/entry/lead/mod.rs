//! Leader election, and scheduling while this entry leads.

mod backlog;
mod crashes;
mod delay;
mod election;
mod resign;
mod restarts;
mod restore;
mod schedule;
mod takeover;
mod waits;
mod zones;

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::plan::Pauses;
use agate_jobs::record::Body;
use agate_jobs::{LeaderHeartbeat, Record};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

pub use self::delay::ProcessorShare;

use self::delay::ClaimDelay;
use self::election::Claim;
use self::schedule::Leadership;
use super::Entry;
use super::writers::StreamWriters;
use crate::clock;
use crate::metrics::Event;
use crate::store::Stream;

/// Time between heartbeats of the leader.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Silence of the leader after which another entry takes over. Allows for a heartbeat that the log
/// takes 0.24 s to record, sixty times longer than usual.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1_700);

/// Attempts at each call to the log during a takeover.
const MAX_TAKEOVER_ATTEMPTS: u32 = 20;

/// Pause between these attempts.
const TAKEOVER_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time allowed for the last records on resignation.
const RESIGN_TIMEOUT: Duration = Duration::from_millis(800);

/// Leads whenever no other entry does, until `stop` is cancelled.
pub(super) async fn run(entry: Arc<Entry>, stop: CancellationToken) {
    entry.view().is_leader = false;
    let mut failed_claim = None;
    while !stop.is_cancelled() {
        let delay = ClaimDelay::draw(entry.context.processor_share);
        tokio::select! {
            biased;
            () = stop.cancelled() => {
                resign::resign_own_claim(&entry, failed_claim).await;
                return;
            }
            () = election::wait_for_vacancy(&entry, delay) => {}
        }
        let mut claim = Claim::new(&entry, failed_claim);
        let claimed = tokio::select! {
            biased;
            () = stop.cancelled() => None,
            claimed = election::record_claim(&entry, &mut claim) => Some(claimed),
        };
        match claimed {
            Some(true) => {
                failed_claim = None;
                lead(&entry, claim, &stop).await;
            }
            Some(false) => failed_claim = Some(claim),
            None => resign::resign_claim(&entry, claim).await,
        }
    }
}

/// Returns a heartbeat of this entry that lists neither jobs nor suspicions.
fn heartbeat(entry: &Entry, epoch: u64) -> LeaderHeartbeat {
    LeaderHeartbeat {
        epoch,
        entry: entry.context.name.clone(),
        resigns: false,
        started_jobs: Vec::new(),
        suspects: Vec::new(),
    }
}

fn heartbeat_record(entry: &Entry, epoch: u64) -> Record {
    Record::new(Body::Leader(heartbeat(entry, epoch)))
}

/// Returns the record with which this entry gives up an epoch before it has scheduled anything.
fn resignation_record(entry: &Entry, epoch: u64) -> Record {
    Record::new(Body::Leader(LeaderHeartbeat {
        resigns: true,
        ..heartbeat(entry, epoch)
    }))
}

async fn lead(entry: &Arc<Entry>, claim: Claim, stop: &CancellationToken) {
    let began = Instant::now();
    let epoch = claim.epoch;
    let (mut writers, outcomes) = StreamWriters::new(Arc::clone(entry), epoch);
    writers.open(Stream::Main, claim.sequence);
    entry.view().takes_over = true;
    let mut takeover_heartbeats = 0;
    let taken = tokio::select! {
        biased;
        () = stop.cancelled() => None,
        taken = takeover::take_over(entry, epoch) => Some(taken),
        () = takeover::send_heartbeats(
            entry,
            epoch,
            &mut writers,
            &mut takeover_heartbeats,
        ) => return,
    };
    entry.view().takes_over = false;
    let Some(taken) = taken else {
        entry.view().is_leader = false;
        resign::resign_takeover(entry, epoch, writers, outcomes).await;
        return;
    };
    let mut scheduler = match taken {
        Ok(scheduler) => scheduler,
        Err(error) => {
            entry.view().is_leader = false;
            log::warn!(event = "takeover_failed", epoch = epoch, cause:% = error; "");
            return;
        }
    };
    let now = clock::now();
    scheduler.set_batch_order(entry.context.batch_order);
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
        taken_at: now,
        heartbeat_at: now,
        takeover_heartbeats,
        heartbeat_recorded_at: None,
        unlisted_since: None,
        pauses: Pauses::default(),
    };
    let deposed = leadership.run(outcomes, stop).await;
    entry.context.metrics.backlog.clear();
    entry.view().is_leader = false;
    entry.context.metrics.clear_zone_runs();
    entry.context.metrics.set_waiting_tasks(0);
    entry.context.metrics.set_waiting_jobs(0);
    entry.context.metrics.set_unstarted_runs(0);
    if deposed {
        entry.context.metrics.count(Event::LeaderLost);
    }
    log::info!(event = "leader_left", epoch = epoch, deposed = deposed; "");
}

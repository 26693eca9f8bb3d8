//! Fencing out earlier leaders, reading the current orders and restoring the state.

use std::collections::BTreeSet;

use agate_jobs::Record;
use agate_jobs::plan::Scheduler;
use futures::stream::{self, StreamExt as _, TryStreamExt as _};
use tokio::time::{Instant, sleep};

use super::{
    HEARTBEAT_PERIOD, LEADER_TIMEOUT, MAX_TAKEOVER_ATTEMPTS, TAKEOVER_RETRY_DELAY,
    heartbeat_record, restore,
};
use crate::clock;
use crate::entry::Entry;
use crate::entry::writers::StreamWriters;
use crate::store::{AppendError, Fence, Stream, order_stream};

/// Number of order streams that are fenced and read at the same time during a takeover.
const TAKEOVER_CONCURRENCY: usize = 24;

/// Reads up to the record of this entry's claim, then fences and reads the order streams of the
/// workers that are known there, or whose reports can't be read. An earlier leader knows no other worker, since
/// it stops when it reads the claim. Restores the scheduler's state from them.
pub(super) async fn take_over(entry: &Entry, epoch: u64) -> Result<Scheduler, AppendError> {
    let began = Instant::now();
    if !wait_for_own_claim(entry, epoch).await {
        let cause = "the claim was not read in time, or another entry has taken over";
        return Err(AppendError::NotDone(cause.to_owned()));
    }
    let read_at = Instant::now();
    let orders = fence_streams(entry, epoch, order_streams(entry)).await?;
    let (records, fenced_at) = (orders.len(), Instant::now());
    let mut scheduler = restore::restore(entry, epoch, orders).await?;
    for worker in scheduler.take_unlisted() {
        log::warn!(
            event = "worker_unlisted", worker = worker.as_str(), epoch = epoch;
            "it has no report that can be read; its runs stay bound until it reports or they have lapsed"
        );
    }
    log::info!(
        event = "orders_restored", epoch = epoch, records = records,
        claim_ms = clock::millis(read_at - began), fence_ms = clock::millis(fenced_at - read_at),
        restore_ms = clock::millis(fenced_at.elapsed()); ""
    );
    Ok(scheduler)
}

/// Returns the order streams of the known workers and of those whose reports could not be read.
fn order_streams(entry: &Entry) -> BTreeSet<Stream> {
    let count = entry.context.log.order_streams();
    let view = entry.view();
    let workers = view.job_table.workers();
    let known = workers.map(|report| order_stream(&report.incarnation.name, count));
    known.chain(view.unread_streams.iter().copied()).collect()
}

/// Sends heartbeats during a takeover, which may take longer than the silence after which another
/// entry would take over. Counts them in `written`.
pub(super) async fn send_heartbeats(
    entry: &Entry,
    epoch: u64,
    writers: &mut StreamWriters,
    written: &mut u32,
) {
    loop {
        sleep(HEARTBEAT_PERIOD).await;
        writers.write(Stream::Main, heartbeat_record(entry, epoch));
        *written += 1;
    }
}

/// Fences earlier leaders out of order streams and reads the current orders.
async fn fence_streams(
    entry: &Entry,
    epoch: u64,
    streams: BTreeSet<Stream>,
) -> Result<Vec<Record>, AppendError> {
    let streams = stream::iter(streams).map(|stream| fence_stream(entry, stream, epoch));
    let records: Vec<Vec<Record>> = streams
        .buffer_unordered(TAKEOVER_CONCURRENCY)
        .try_collect()
        .await?;
    Ok(records.into_iter().flatten().collect())
}

async fn fence_stream(
    entry: &Entry,
    stream: Stream,
    epoch: u64,
) -> Result<Vec<Record>, AppendError> {
    let fence = Some(Fence { epoch, sequence: 0 });
    let log = &entry.context.log;
    let mut last_error = AppendError::NotDone("not attempted".to_owned());
    for _ in 0..MAX_TAKEOVER_ATTEMPTS {
        match log.append(stream, &[], fence).await {
            Ok(_) => match log.newest(stream).await {
                Ok(newest) => {
                    let metrics = &entry.context.metrics;
                    let records = newest.records.into_iter();
                    let parse = |stored| entry.skipped.parse(stream, stored, metrics);
                    return Ok(records.filter_map(parse).collect());
                }
                Err(error) => last_error = AppendError::NotDone(error.to_string()),
            },
            Err(AppendError::Fenced) => return Err(AppendError::Fenced),
            Err(error) => last_error = error,
        }
        sleep(TAKEOVER_RETRY_DELAY).await;
    }
    Err(last_error)
}

/// Waits until the record of this entry's claim is folded. Returns whether this entry still holds
/// the epoch.
async fn wait_for_own_claim(entry: &Entry, epoch: u64) -> bool {
    let mut folded = entry.folded.subscribe();
    let claimed = folded.wait_for(|_| entry.view().job_table.leader().epoch >= epoch);
    let read = tokio::time::timeout(LEADER_TIMEOUT, claimed).await;
    drop(read);
    let view = entry.view();
    let leader = view.job_table.leader();
    leader.epoch == epoch && leader.entry == entry.context.name
}

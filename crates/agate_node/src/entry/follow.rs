//! Follows the main stream.

use std::collections::BTreeSet;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::plan::LastContact;
use agate_jobs::table::Change;
use agate_jobs::{JobTable, RecordError};
use tokio::time::{Instant, sleep};

use super::Entry;
use super::shared::View;
use crate::clock;
use crate::outage::OutageMonitor;
use crate::skipped::Place;
use crate::store::{ReadError, StoredRecord, Stream, order_stream};

/// Longest wait of a read for new records; bounds how stale the entry's view is.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// Time between reads while another entry leads, which groups records to save calls. Callers see
/// the end of a job later by half of it on average, a fiftieth of the shortest latency objective.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(150);

/// Time between reads while this entry leads or takes over.
const LEAD_INTERVAL: Duration = Duration::from_millis(15);

/// Silence of the leader during which an entry that knows its processor share reads as often as a
/// leader, so that entries notice the timeout in the order of their claim delays.
const WATCHED_SILENCE: Range<Duration> = Duration::from_millis(1_200)..Duration::from_millis(2_200);

/// Longest wait of a read during that time.
const WATCH_POLL_WAIT: Duration = Duration::from_millis(50);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Loads the newest records and follows the stream until the process ends.
pub(super) async fn follow(entry: Arc<Entry>) {
    loop {
        load(&entry).await;
        follow_appends(&entry).await;
    }
}

/// Rebuilds the job table from the newest record of each key.
async fn load(entry: &Entry) {
    let started = Instant::now();
    let mut monitor = OutageMonitor::new(Stream::Main, "newest");
    let newest = loop {
        match entry.context.log.newest(Stream::Main).await {
            Ok(newest) => break newest,
            Err(error) => {
                monitor.record_result(&entry.context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
    };
    let mut job_table = JobTable::default();
    let records = newest.records.len();
    let order_streams = entry.context.log.order_streams();
    let mut unread_streams = BTreeSet::new();
    for stored in newest.records {
        let worker = stored.key.strip_prefix("w/").map(str::to_owned);
        fold_stored(entry, &mut job_table, stored);
        let unread = worker.filter(|name| job_table.worker(name).is_none());
        unread_streams.extend(unread.map(|name| order_stream(&name, order_streams)));
    }
    let jobs = job_table.jobs().count();
    let mut view = entry.view();
    let now = clock::now();
    view.last_contact = LastContact::from_table(&job_table, now);
    view.suspicion_times.apply(job_table.leader(), now);
    view.job_table = job_table;
    view.unread_streams = unread_streams;
    view.leader_seen_at = now;
    view.is_leader = false;
    view.pending_changes.clear();
    drop(view);
    entry.folded.send_replace(newest.end);
    log::info!(
        event = "book_loaded", records = records, jobs = jobs, offset = newest.end,
        took_ms = clock::millis(started.elapsed()); ""
    );
}

/// Folds new records until the next ones to read have been deleted.
async fn follow_appends(entry: &Entry) {
    let mut monitor = OutageMonitor::new(Stream::Main, "read");
    loop {
        let started = clock::now();
        let from = *entry.folded.borrow();
        // While the log is silent, a read that doesn't wait fails sooner.
        let wait = if monitor.is_failing() {
            Duration::ZERO
        } else {
            poll_wait(entry)
        };
        match entry.context.log.read(Stream::Main, from, wait).await {
            Ok(page) => {
                monitor.record_result(&entry.context.metrics, None::<&ReadError>);
                let next = from + page.records.len() as u64;
                let has_more = !page.records.is_empty() && next < page.end;
                apply(entry, page.records, next >= page.end, started);
                entry.folded.send_replace(next);
                if has_more {
                    continue;
                }
            }
            Err(ReadError::Deleted) => {
                log::warn!(event = "records_deleted", lane:% = Stream::Main, offset = from; "");
                return;
            }
            Err(error) => {
                monitor.record_result(&entry.context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
        wait_between_reads(entry).await;
    }
}

/// Returns how long a read may wait for new records. It must not last into the time when the
/// leader's silence is watched.
fn poll_wait(entry: &Entry) -> Duration {
    let silence = leader_silence(entry);
    match entry.context.processor_share {
        Some(_) if silence < WATCHED_SILENCE.start => {
            POLL_WAIT.min(WATCHED_SILENCE.start.saturating_sub(silence))
        }
        Some(_) if WATCHED_SILENCE.contains(&silence) => WATCH_POLL_WAIT,
        _ => POLL_WAIT,
    }
}

fn leader_silence(entry: &Entry) -> Duration {
    clock::now().since(entry.view().leader_seen_at)
}

fn watches_silence(entry: &Entry) -> bool {
    let knows_share = entry.context.processor_share.is_some();
    knows_share && WATCHED_SILENCE.contains(&leader_silence(entry))
}

async fn wait_between_reads(entry: &Entry) {
    let leads = {
        let view = entry.view();
        view.is_leader || view.takes_over
    };
    sleep(if leads || watches_silence(entry) {
        LEAD_INTERVAL
    } else {
        FOLLOW_INTERVAL
    })
    .await;
}

fn apply(
    entry: &Entry,
    records: Vec<StoredRecord>,
    reached_end: bool,
    started: agate_core::Moment,
) {
    let now = clock::now();
    let mut view = entry.view();
    for stored in records {
        let change = fold_stored(entry, &mut view.job_table, stored);
        apply_change(&mut view, change, now);
    }
    if reached_end {
        view.synced = true;
        view.reading.record_end(started, now);
    }
    let has_changes = !view.pending_changes.is_empty();
    drop(view);
    if has_changes {
        entry.changed.notify_one();
    }
}

/// Folds a record. One that is invalid or has no effect because it contradicts what is known is
/// reported.
fn fold_stored(entry: &Entry, job_table: &mut JobTable, stored: StoredRecord) -> Change {
    let place = Place {
        stream: Stream::Main,
        offset: stored.offset,
    };
    let metrics = &entry.context.metrics;
    let Some(record) = entry.skipped.parse(place.stream, stored, metrics) else {
        return Change::None;
    };
    let key = record.key.clone();
    let change = job_table.fold(record);
    if let Change::Rejected(cause) = change {
        let cause = cause.to_owned();
        entry
            .skipped
            .report(place, &RecordError { key, cause }, metrics);
        return Change::None;
    }
    change
}

fn apply_change(view: &mut View, change: Change, now: agate_core::Moment) {
    view.last_contact.apply(&change, now);
    if change == Change::Leader {
        view.leader_seen_at = now;
        view.suspicion_times.apply(view.job_table.leader(), now);
    }
    if view.is_leader && change != Change::None {
        view.pending_changes.push(change);
    }
}

//! Following the main lane.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::book::Change;
use agate_jobs::plan::Heard;
use agate_jobs::{Book, Record};
use tokio::time::{Instant, sleep};

use super::Entry;
use super::shared::View;
use crate::clock;
use crate::store::{ReadError, StoredRecord, Stream};
use crate::watch::Watch;

/// Longest wait of a read for news; bounds the age of what an entry believes.
const POLL_WAIT: Duration = Duration::from_secs(1);

/// Time between two reads while another entry schedules; groups records to save calls. Callers see
/// a job's end later by half of it on average, a fiftieth of the shortest objective.
const FOLLOW_PACE: Duration = Duration::from_millis(150);

/// Time between two reads while this entry schedules.
const LEAD_PACE: Duration = Duration::from_millis(15);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Loads the newest records and follows the lane for as long as the process runs.
pub(super) async fn follow(entry: Arc<Entry>) {
    loop {
        load(&entry).await;
        follow_on(&entry).await;
    }
}

/// Builds the book anew from the newest record of each key.
async fn load(entry: &Entry) {
    let began = Instant::now();
    let mut watch = Watch::new(Stream::Main, "newest");
    let newest = loop {
        match entry.context.log.newest(Stream::Main).await {
            Ok(newest) => break newest,
            Err(error) => {
                watch.take(&entry.context.metrics, Some(&error));
                sleep(RETRY_PAUSE).await;
            }
        }
    };
    let mut book = Book::default();
    let records = newest.records.len();
    for stored in newest.records {
        if let Some(record) = parse(stored) {
            book.fold(record);
        }
    }
    let jobs = book.jobs().count();
    let mut view = entry.view();
    let now = clock::now();
    view.heard = Heard::of_loaded(&book, now);
    view.book = book;
    view.leader_seen = now;
    view.leads = false;
    view.changes.clear();
    drop(view);
    entry.folded.send_replace(newest.end);
    log::info!(
        event = "book_loaded", records = records, jobs = jobs, offset = newest.end,
        took_ms = clock::millis(began.elapsed()); ""
    );
}

/// Folds what is appended until records that were not yet read are deleted.
async fn follow_on(entry: &Entry) {
    let mut watch = Watch::new(Stream::Main, "read");
    loop {
        let began = clock::now();
        let from = *entry.folded.borrow();
        // A read that doesn't wait fails sooner if the log is still silent.
        let wait = if watch.is_lost() {
            Duration::ZERO
        } else {
            POLL_WAIT
        };
        match entry.context.log.read(Stream::Main, from, wait).await {
            Ok(page) => {
                watch.take(&entry.context.metrics, None::<&ReadError>);
                let next = from + page.records.len() as u64;
                take(entry, page.records, next >= page.end, began);
                entry.folded.send_replace(next);
            }
            Err(ReadError::Deleted) => {
                log::warn!(event = "records_deleted", lane:% = Stream::Main, offset = from; "");
                return;
            }
            Err(error) => {
                watch.take(&entry.context.metrics, Some(&error));
                sleep(RETRY_PAUSE).await;
            }
        }
        pace(entry).await;
    }
}

async fn pace(entry: &Entry) {
    let leads = entry.view().leads;
    sleep(if leads { LEAD_PACE } else { FOLLOW_PACE }).await;
}

fn take(entry: &Entry, records: Vec<StoredRecord>, reached_end: bool, began: agate_core::Moment) {
    let now = clock::now();
    let mut view = entry.view();
    for stored in records {
        if let Some(record) = parse(stored) {
            fold(&mut view, record, now);
        }
    }
    if reached_end {
        view.synced = true;
        view.reading.reached_end(began, now);
    }
    let news = !view.changes.is_empty();
    drop(view);
    if news {
        entry.news.notify_one();
    }
}

fn fold(view: &mut View, record: Record, now: agate_core::Moment) {
    let change = view.book.fold(record);
    view.heard.take(&change, now);
    if change == Change::Leader {
        view.leader_seen = now;
    }
    if view.leads && change != Change::None {
        view.changes.push(change);
    }
}

/// Reads a record; one that this version doesn't know is left out.
pub(super) fn parse(stored: StoredRecord) -> Option<Record> {
    match Record::parse(stored.key, &stored.value) {
        Ok(record) => Some(record),
        Err(error) => {
            log::warn!(event = "record_unknown", offset = stored.offset, cause:% = error; "");
            None
        }
    }
}

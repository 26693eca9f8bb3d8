//! Follows the operator's configuration.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::{Instant, sleep};

use super::{Entry, zones};
use crate::outage::OutageMonitor;
use crate::store::{NewestRecords, Page, ReadError, StoredRecord, Stream};

/// Longest wait of a read for new records. Together with the timeout of the call it stays well
/// below 2.5 s, the shortest time in which a configuration has to be in force.
const POLL_WAIT: Duration = Duration::from_millis(800);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Loads the newest configuration and follows the stream until the process ends.
pub(super) async fn follow(entry: Arc<Entry>) {
    loop {
        let next = load(&entry).await;
        follow_from(&entry, next).await;
    }
}

async fn load(entry: &Entry) -> u64 {
    let mut monitor = OutageMonitor::new(Stream::Config, "newest");
    loop {
        match entry.context.log.newest(Stream::Config).await {
            Ok(newest) => {
                apply_load(entry, &newest);
                return newest.end;
            }
            Err(error) => {
                monitor.record_result(&entry.context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn follow_from(entry: &Entry, mut next: u64) {
    let mut monitor = OutageMonitor::new(Stream::Config, "read");
    loop {
        match entry
            .context
            .log
            .read(Stream::Config, next, POLL_WAIT)
            .await
        {
            Ok(page) => {
                monitor.record_result(&entry.context.metrics, None::<&ReadError>);
                next += page.records.len() as u64;
                apply_page(entry, &page.records, next);
            }
            Err(ReadError::Deleted) => return,
            Err(error) => {
                monitor.record_result(&entry.context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Applies what was recorded up to the time of the call. A read that another caller began after that
/// serves for this one, too.
///
/// # Errors
///
/// Returns [`ReadError`] if the log returns no page.
pub(super) async fn apply_new(entry: &Entry) -> Result<(), ReadError> {
    let arrived = Instant::now();
    let mut read_at = entry.config_read_at.lock().await;
    if read_at.is_some_and(|at| at >= arrived) {
        return Ok(());
    }
    let began = Instant::now();
    read_to_end(entry).await?;
    *read_at = Some(began);
    Ok(())
}

async fn read_to_end(entry: &Entry) -> Result<(), ReadError> {
    loop {
        let from = entry.config_end.load(Ordering::Relaxed);
        let Some(page) = read_new(entry, from).await? else {
            let newest = entry.context.log.newest(Stream::Config).await?;
            apply_load(entry, &newest);
            return Ok(());
        };
        let next = from + page.records.len() as u64;
        apply_page(entry, &page.records, next);
        if next >= page.end {
            return Ok(());
        }
        if page.records.is_empty() {
            let cause = "the log returned no record before its end";
            return Err(ReadError::Unavailable(cause.to_owned()));
        }
    }
}

/// Reads what was recorded from the offset `from` on; returns `None` if that has been deleted or nothing has
/// been loaded yet.
async fn read_new(entry: &Entry, from: u64) -> Result<Option<Page>, ReadError> {
    if from == 0 {
        return Ok(None);
    }
    let log = &entry.context.log;
    match log.read(Stream::Config, from, Duration::ZERO).await {
        Ok(page) => Ok(Some(page)),
        Err(ReadError::Deleted) => Ok(None),
        Err(error) => Err(error),
    }
}

/// Applies the newest records. Loads and reads may be applied in any order.
fn apply_load(entry: &Entry, newest: &NewestRecords) {
    apply_routes(entry, &newest.records);
    zones::apply_load(entry, newest);
    entry.config_end.fetch_max(newest.end, Ordering::Relaxed);
}

/// Applies consecutive records that were read up to the offset `next`.
fn apply_page(entry: &Entry, records: &[StoredRecord], next: u64) {
    apply_routes(entry, records);
    zones::apply_page(entry, records, next);
    entry.config_end.fetch_max(next, Ordering::Relaxed);
}

/// Activates the newest route table. An older one never replaces it.
fn apply_routes(entry: &Entry, records: &[StoredRecord]) {
    for stored in records {
        match (entry.context.parse_routes)(stored) {
            Ok(Some(table)) => activate(entry, table),
            Ok(None) => {}
            Err(cause) => {
                log::warn!(event = "config_unreadable", offset = stored.offset, cause:% = cause; "");
            }
        }
    }
}

fn activate(entry: &Entry, table: agate_jobs::RouteTable) {
    let version = table.version;
    let queues = table.routes.len();
    let replaced = entry.routes.send_if_modified(|current| {
        let newer = version > current.version;
        if newer {
            *current = Arc::new(table);
        }
        newer
    });
    if replaced {
        log::info!(event = "config_in_force", version = version, queues = queues; "");
    }
}

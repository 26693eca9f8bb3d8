//! Following the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::sleep;

use super::Entry;
use crate::store::{ReadError, StoredRecord, Stream};
use crate::watch::Watch;

/// Longest wait of a read for news. With the time-out of the call it stays well below the shortest
/// time in which a configuration has to be in force (2.5 s).
const POLL_WAIT: Duration = Duration::from_millis(800);

/// Pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Loads the newest configuration and follows the lane for as long as the process runs.
pub(super) async fn follow(entry: Arc<Entry>) {
    loop {
        let next = load(&entry).await;
        follow_on(&entry, next).await;
    }
}

async fn load(entry: &Entry) -> u64 {
    let mut watch = Watch::new(Stream::Config, "newest");
    loop {
        match entry.context.log.newest(Stream::Config).await {
            Ok(newest) => {
                take(entry, &newest.records);
                return newest.end;
            }
            Err(error) => {
                watch.take(&entry.context.metrics, Some(&error));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

async fn follow_on(entry: &Entry, mut next: u64) {
    let mut watch = Watch::new(Stream::Config, "read");
    loop {
        match entry
            .context
            .log
            .read(Stream::Config, next, POLL_WAIT)
            .await
        {
            Ok(page) => {
                let lost = watch.is_lost();
                watch.take(&entry.context.metrics, None::<&ReadError>);
                if lost {
                    return;
                }
                next += page.records.len() as u64;
                take(entry, &page.records);
            }
            Err(ReadError::Deleted) => return,
            Err(error) => {
                watch.take(&entry.context.metrics, Some(&error));
                sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// Puts the newest table in force; an older one never replaces it.
pub(super) fn take(entry: &Entry, records: &[StoredRecord]) {
    for stored in records {
        match (entry.context.parse_routes)(stored) {
            Ok(Some(table)) => put_in_force(entry, table),
            Ok(None) => {}
            Err(cause) => {
                log::warn!(event = "config_unreadable", offset = stored.offset, cause:% = cause; "");
            }
        }
    }
}

fn put_in_force(entry: &Entry, table: agate_jobs::RouteTable) {
    let version = table.version;
    let queues = table.routes.len();
    let replaced = entry.routes.send_if_modified(|held| {
        let newer = version > held.version;
        if newer {
            *held = Arc::new(table);
        }
        newer
    });
    if replaced {
        log::info!(event = "config_in_force", version = version, queues = queues; "");
    }
}

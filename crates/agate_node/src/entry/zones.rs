//! The withdrawn zones as an entry has read them.

use std::sync::{Mutex, MutexGuard, PoisonError};

use agate_jobs::zones::ZoneTable;

use super::Entry;
use crate::store::{NewestRecords, StoredRecord};
use crate::zones::{self, ParseZone};

/// The zone table of an entry.
#[derive(Debug)]
pub(super) struct EntryZones {
    parse: ParseZone,
    table: Mutex<ZoneTable>,
}

impl EntryZones {
    pub fn new(parse: ParseZone) -> Self {
        Self {
            parse,
            table: Mutex::default(),
        }
    }

    pub fn table(&self) -> MutexGuard<'_, ZoneTable> {
        self.table.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Applies a load of the configuration stream. One that tells nothing new must not wake the leader.
pub(super) fn apply_load(entry: &Entry, newest: &NewestRecords) {
    let Some(zones) = &entry.zones else {
        return;
    };
    let mut table = zones.table();
    let last = newest.end.checked_sub(1);
    if last.is_some_and(|last| table.is_known(last)) {
        return;
    }
    let requests = zones::requests(zones.parse, &newest.records, &table);
    table.apply_load(requests, newest.end);
    publish(entry, &table);
}

/// Applies records of the configuration stream that were read up to the offset `next`.
pub(super) fn apply_page(entry: &Entry, records: &[StoredRecord], next: u64) {
    let Some(zones) = entry.zones.as_ref().filter(|_| !records.is_empty()) else {
        return;
    };
    let mut table = zones.table();
    let requests = zones::requests(zones.parse, records, &table);
    table.apply_page(requests, next);
    publish(entry, &table);
}

fn publish(entry: &Entry, table: &ZoneTable) {
    zones::set_gauges(&entry.context.metrics, table);
    entry.changed.notify_one();
}

//! Records that a process has stepped over.

use std::collections::BTreeSet;
use std::sync::{Mutex, PoisonError};

use agate_core::clock;
use agate_jobs::{Record, RecordError};

use crate::metrics::{Event, Metrics};
use crate::store::{StoredRecord, Stream};

/// Most places that are remembered. Beyond them the first ones of the lowest stream are reported again
/// when they are read again.
const MAX_PLACES: usize = 4_096;

/// Place of a record.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub stream: Stream,
    pub offset: u64,
}

/// The places of the records that have been reported. A load reads the newest record of each key again.
#[derive(Debug, Default)]
pub(crate) struct SkippedRecords(Mutex<BTreeSet<Place>>);

impl SkippedRecords {
    /// Parses a record. One that is invalid or unknown to this version is counted and logged the first
    /// time.
    pub fn parse(&self, stream: Stream, stored: StoredRecord, metrics: &Metrics) -> Option<Record> {
        let offset = stored.offset;
        match Record::parse_at(stored.key, &stored.value, clock::wall_millis()) {
            Ok(record) => Some(record),
            Err(error) => {
                self.report(Place { stream, offset }, &error, metrics);
                None
            }
        }
    }

    /// Counts and logs a record unless that has been done.
    pub fn report(&self, place: Place, error: &RecordError, metrics: &Metrics) {
        if !self.add(place) {
            return;
        }
        metrics.count(Event::RecordSkipped);
        log::warn!(
            event = "record_unknown", lane:% = place.stream, offset = place.offset,
            key:? = error.key, cause = error.cause.as_str(); "it is stepped over"
        );
    }

    fn add(&self, place: Place) -> bool {
        let mut places = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new = places.insert(place);
        if places.len() > MAX_PLACES {
            places.pop_first();
        }
        is_new
    }
}

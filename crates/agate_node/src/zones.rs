//! Reads the operator's requests about zones from the configuration stream.

use agate_jobs::zones::{ZoneRecord, ZoneTable};

use crate::metrics::Metrics;
use crate::store::StoredRecord;

/// Parses a request about a zone from a record of the configuration stream; returns `None` for
/// other records.
pub type ParseZone = fn(&StoredRecord) -> Result<Option<ZoneRecord>, String>;

/// Returns the requests among records. One that can't be read is logged the first time.
pub(crate) fn requests(
    parse: ParseZone,
    records: &[StoredRecord],
    table: &ZoneTable,
) -> Vec<ZoneRecord> {
    let mut requests = Vec::new();
    for stored in records {
        match parse(stored) {
            Ok(request) => requests.extend(request),
            Err(cause) if !table.is_known(stored.offset) => {
                log::warn!(
                    event = "zone_key_unreadable", offset = stored.offset, cause:% = cause; ""
                );
            }
            Err(_known) => {}
        }
    }
    requests
}

/// Sets the gauge of each known zone.
pub(crate) fn set_gauges(metrics: &Metrics, table: &ZoneTable) {
    for (zone, state) in table.zones() {
        metrics.set_zone_withdrawn(zone, state.withdrawn);
    }
}

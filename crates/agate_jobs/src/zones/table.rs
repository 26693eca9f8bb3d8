//! The zones that the operator has withdrawn, folded from the configuration stream.

use std::collections::BTreeMap;

use crate::zones::record::ZoneRecord;

/// State of a zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ZoneState {
    /// Offset of the newest record of the zone, or end of the load that lacked it.
    pub offset: u64,
    /// Whether the zone is withdrawn.
    pub withdrawn: bool,
}

/// The zones of which a record is known. Loads and reads may be applied in any order.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ZoneTable {
    zones: BTreeMap<String, ZoneState>,
    /// Offset up to which the stream is known; `None` before the first load.
    known_to: Option<u64>,
}

impl ZoneTable {
    /// Returns whether the zones have been loaded once.
    pub const fn is_loaded(&self) -> bool {
        self.known_to.is_some()
    }

    /// Returns whether the effect of a record at `offset` is known.
    pub fn is_known(&self, offset: u64) -> bool {
        self.known_to.is_some_and(|known_to| offset < known_to)
    }

    /// Returns whether a zone is withdrawn.
    pub fn is_withdrawn(&self, zone: &str) -> bool {
        self.zones.get(zone).is_some_and(|state| state.withdrawn)
    }

    /// Returns the known zones.
    pub fn zones(&self) -> impl Iterator<Item = (&str, ZoneState)> {
        self.zones
            .iter()
            .map(|(zone, state)| (zone.as_str(), *state))
    }

    /// Returns the withdrawn zones with the offsets of their records.
    pub fn withdrawn(&self) -> impl Iterator<Item = (&str, u64)> {
        let withdrawn = self.zones().filter(|(_, state)| state.withdrawn);
        withdrawn.map(|(zone, state)| (zone, state.offset))
    }

    /// Applies the newest record of each key, all of which are before `end`. A zone without a record
    /// among them is returned. A load that ends before the known offset is out of date.
    pub fn apply_load(&mut self, records: Vec<ZoneRecord>, end: u64) {
        if self.known_to.is_some_and(|known_to| end <= known_to) {
            return;
        }
        let mut missing: Vec<String> = self.withdrawn().map(|(zone, _)| zone.to_owned()).collect();
        missing.retain(|zone| !records.iter().any(|record| record.zone == *zone));
        for zone in missing {
            self.apply(ZoneRecord {
                offset: end,
                zone,
                withdrawn: false,
            });
        }
        for record in records {
            self.apply(record);
        }
        self.known_to = Some(end);
    }

    /// Applies consecutive records that were read up to the offset `next`.
    pub fn apply_page(&mut self, records: Vec<ZoneRecord>, next: u64) {
        for record in records {
            if !self.is_known(record.offset) {
                self.apply(record);
            }
        }
        self.known_to = self.known_to.map(|known_to| known_to.max(next));
    }

    /// Applies a record unless a newer one of its zone is known.
    fn apply(&mut self, record: ZoneRecord) {
        let known = self.zones.get(&record.zone);
        if known.is_some_and(|state| state.offset > record.offset) {
            return;
        }
        let state = ZoneState {
            offset: record.offset,
            withdrawn: record.withdrawn,
        };
        self.zones.insert(record.zone, state);
    }
}

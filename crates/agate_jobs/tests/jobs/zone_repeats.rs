//! Tests of withdrawn zones that are read in loads and pages of a log with repeated records.

use std::collections::{BTreeMap, BTreeSet};

use agate_jobs::zones::{ZoneRecord, ZoneTable};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::{Index, select};

use crate::zones::{loaded, returns, withdraws};

const ZONES: [&str; 3] = ["a", "b", "c"];

/// A read of the log up to an offset.
#[derive(Debug, Clone)]
enum Read {
    /// The newest record of each zone. Those of returned zones may have been deleted.
    Load { end: Index, deleted: bool },
    /// The records from an offset on up to which the log was known at some time.
    Page { from: Index, end: Index },
}

fn read() -> impl Strategy<Value = Read> {
    let load = (any::<Index>(), any::<bool>());
    let page = (any::<Index>(), any::<Index>());
    prop_oneof![
        load.prop_map(|(end, deleted)| Read::Load { end, deleted }),
        page.prop_map(|(from, end)| Read::Page { from, end }),
    ]
}

/// Returns the records of a log, many of which say the same of their zone as the one before.
fn log() -> impl Strategy<Value = Vec<ZoneRecord>> {
    let requests = vec((select(&ZONES), any::<bool>()), 0..20);
    requests.prop_map(|requests| {
        let record = |(offset, (zone, withdrawn))| {
            if withdrawn {
                withdraws(offset, zone)
            } else {
                returns(offset, zone)
            }
        };
        (0..).zip(requests).map(record).collect()
    })
}

/// Returns the newest record of each zone among the first `end` ones.
fn newest(log: &[ZoneRecord], end: usize) -> BTreeMap<&str, &ZoneRecord> {
    let records = log[..end].iter();
    records
        .map(|record| (record.zone.as_str(), record))
        .collect()
}

fn withdrawn_at(log: &[ZoneRecord], end: usize) -> BTreeSet<&str> {
    let newest = newest(log, end).into_iter();
    let withdrawn = newest.filter(|(_, record)| record.withdrawn);
    withdrawn.map(|(zone, _)| zone).collect()
}

fn load(log: &[ZoneRecord], end: usize, deleted: bool) -> Vec<ZoneRecord> {
    let records = newest(log, end).into_values().cloned();
    records
        .filter(|record| record.withdrawn || !deleted)
        .collect()
}

fn withdrawn(table: &ZoneTable) -> BTreeSet<&str> {
    table.withdrawn().map(|(zone, _)| zone).collect()
}

proptest! {
    /// Two tasks of an entry read the zones, and a load may answer late: a table that depended on the order of
    /// its reads would let tasks start in a withdrawn zone.
    #[test]
    fn tables_agree_however_a_log_of_zones_is_read(
        log in log(),
        first in any::<Index>(),
        reads in vec(read(), 0..12),
    ) {
        let ends = log.len() + 1;
        let mut known = first.index(ends);
        let mut table = loaded(load(&log, known, false), known as u64);
        prop_assert_eq!(withdrawn(&table), withdrawn_at(&log, known));
        for read in reads {
            match read {
                Read::Load { end, deleted } => {
                    let end = end.index(ends);
                    table.apply_load(load(&log, end, deleted), end as u64);
                    known = known.max(end);
                }
                Read::Page { from, end } => {
                    let from = from.index(known + 1);
                    let end = from + end.index(ends - from);
                    table.apply_page(log[from..end].to_vec(), end as u64);
                    known = known.max(end);
                }
            }
            prop_assert_eq!(withdrawn(&table), withdrawn_at(&log, known), "known to {}", known);
        }
    }
}

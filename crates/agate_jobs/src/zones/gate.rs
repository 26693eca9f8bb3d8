//! Decides whether an agent may send a start, by the withdrawn zones that it has read.

use std::time::Duration;

use crate::zones::record::ZoneRecord;
use crate::zones::table::ZoneTable;

/// Part of the bound that is left for a start after its check: the worker may carry it out 1.5 s
/// later, and its clock is not exact.
const START_MARGIN: Duration = Duration::from_secs(2);

/// Longest time between two loads.
const MAX_LOAD_PERIOD: Duration = Duration::from_secs(1);

/// Whether a start may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartCheck {
    /// It may be sent.
    Allowed,
    /// The worker's zone is withdrawn.
    Withdrawn,
    /// The zones have not been loaded.
    NotLoaded,
    /// The newest load began too long ago.
    Stale,
}

/// An agent's view of the withdrawn zones. Times are readings of a clock that includes suspended
/// time.
#[derive(Debug, Clone)]
pub struct ZoneGate {
    table: ZoneTable,
    /// Time at the start of the newest load.
    loaded_at: Option<Duration>,
    /// Time from the acknowledgement of a withdrawal until no start may take effect.
    bound: Duration,
}

impl ZoneGate {
    /// Creates a gate that allows no start before the zones have been read.
    pub fn new(bound: Duration) -> Self {
        Self {
            table: ZoneTable::default(),
            loaded_at: None,
            bound,
        }
    }

    /// Returns the zones read so far.
    pub const fn table(&self) -> &ZoneTable {
        &self.table
    }

    /// Returns the time between the end of a load and the start of the next one. The newest load is up
    /// to two periods old; the third part of the allowed age is left for the time that the log takes to
    /// answer.
    pub fn load_period(&self) -> Duration {
        (self.max_age() / 3).min(MAX_LOAD_PERIOD)
    }

    /// Applies a load that began at `began`: the newest record of each zone before the offset `end`, as
    /// of one moment after `began`. One that ends before the known offset is out of date, whenever it
    /// began.
    pub fn apply_load(&mut self, records: Vec<ZoneRecord>, end: u64, began: Duration) {
        if self.table.is_known(end) {
            return;
        }
        self.table.apply_load(records, end);
        self.loaded_at = self.loaded_at.max(Some(began));
    }

    /// Checks a start on a worker in `zone` at the time `now`.
    pub fn check(&self, zone: &str, now: Duration) -> StartCheck {
        if self.table.is_withdrawn(zone) {
            return StartCheck::Withdrawn;
        }
        let Some(loaded_at) = self.loaded_at else {
            return StartCheck::NotLoaded;
        };
        if now.saturating_sub(loaded_at) > self.max_age() {
            return StartCheck::Stale;
        }
        StartCheck::Allowed
    }

    const fn max_age(&self) -> Duration {
        self.bound.saturating_sub(START_MARGIN)
    }
}

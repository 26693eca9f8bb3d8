//! Decides whether an agent may send a start, by the withdrawn zones that it has read.

use std::time::Duration;

use crate::zones::record::ZoneRecord;
use crate::zones::table::ZoneTable;

/// Part of the bound that is left for a start after its check: the worker may carry it out 1.5 s
/// later, and its clock is not exact.
const START_MARGIN: Duration = Duration::from_secs(2);

/// Longest wait of a read for new records.
const MAX_POLL_WAIT: Duration = Duration::from_secs(1);

/// Whether a start may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StartCheck {
    /// It may be sent.
    Allowed,
    /// The worker's zone is withdrawn.
    Withdrawn,
    /// The zones have not been loaded and then read to their end.
    NotLoaded,
    /// The newest complete read began too long ago.
    Stale,
}

/// An agent's view of the withdrawn zones. Times are readings of a clock that includes suspended
/// time.
#[derive(Debug, Clone)]
pub struct ZoneGate {
    table: ZoneTable,
    /// Time at the start of the newest read that reached the end of the stream since the last load.
    synced_at: Option<Duration>,
    /// Time from the acknowledgement of a withdrawal until no start may take effect.
    bound: Duration,
}

impl ZoneGate {
    /// Creates a gate that allows no start before the zones have been read.
    pub fn new(bound: Duration) -> Self {
        Self {
            table: ZoneTable::default(),
            synced_at: None,
            bound,
        }
    }

    /// Returns the zones read so far.
    pub const fn table(&self) -> &ZoneTable {
        &self.table
    }

    /// Returns how long a read may wait for new records. The newest complete read is up to two polls
    /// old; the third part of the allowed age is left for the time that the log takes to answer.
    pub fn poll_wait(&self) -> Duration {
        (self.max_age() / 3).min(MAX_POLL_WAIT)
    }

    /// Applies a load of the newest records. A read to the end has to follow, since the pages of a
    /// load are not a consistent snapshot.
    pub fn apply_load(&mut self, records: Vec<ZoneRecord>, end: u64) {
        self.synced_at = None;
        self.table.apply_load(records, end);
    }

    /// Applies a read that began at `began` and covers the stream up to `next`.
    pub fn apply_page(
        &mut self,
        records: Vec<ZoneRecord>,
        next: u64,
        reached_end: bool,
        began: Duration,
    ) {
        self.table.apply_page(records, next);
        if reached_end {
            self.synced_at = self.synced_at.max(Some(began));
        }
    }

    /// Checks a start on a worker in `zone` at the time `now`.
    pub fn check(&self, zone: &str, now: Duration) -> StartCheck {
        if self.table.is_withdrawn(zone) {
            return StartCheck::Withdrawn;
        }
        let Some(synced_at) = self.synced_at.filter(|_| self.table.is_loaded()) else {
            return StartCheck::NotLoaded;
        };
        if now.saturating_sub(synced_at) > self.max_age() {
            return StartCheck::Stale;
        }
        StartCheck::Allowed
    }

    const fn max_age(&self) -> Duration {
        self.bound.saturating_sub(START_MARGIN)
    }
}

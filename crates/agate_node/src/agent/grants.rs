//! Leases that calls to a worker have granted, or may have.
//!
//! A call may take effect as soon as the decision to send it has been made, and still does if it is
//! abandoned. So its lease counts from that decision on, under the same lock, and until it is known that the
//! call was not sent. Otherwise a check in between would find that every lease has lapsed while the worker
//! is about to run tasks under a new one (design note 20).

use std::time::Duration;

use agate_jobs::lease::ClockReading;
use slotmap::SlotMap;

/// Factor from time on a clock that runs two percent slow, the slowest allowed, to real time.
const SLOW_CLOCK_FACTOR: f64 = 1.021;

slotmap::new_key_type! {
    /// Key of a call in progress.
    struct CallKey;
}

/// A lease that a call may grant.
#[derive(Debug, Clone, Copy)]
pub(super) struct Grant {
    key: CallKey,
    /// Its end on the worker's clock in milliseconds.
    pub deadline_ms: u64,
}

/// The leases of a worker.
#[derive(Debug)]
pub(super) struct Grants {
    /// Boot time by which all leases of earlier calls have certainly lapsed.
    lapses_at: Duration,
    /// The same for each call in progress. Calls that were abandoned stay.
    in_progress: SlotMap<CallKey, Duration>,
}

impl Grants {
    /// Creates the leases of a worker. Those that the agent does not know of have lapsed by the boot time
    /// `lapses_at`.
    pub fn new(lapses_at: Duration) -> Self {
        Self {
            lapses_at,
            in_progress: SlotMap::with_key(),
        }
    }

    /// Counts the lease of a call that is going to be sent: up to the boot time `until`, by the newest
    /// reading of the worker's clock.
    pub fn begin(&mut self, reading: ClockReading, until: Duration) -> Grant {
        let deadline_ms = reading.deadline(until);
        let ahead = Duration::from_millis(deadline_ms.saturating_sub(reading.worker_ms));
        let lapses_at = reading.at + ahead.mul_f64(SLOW_CLOCK_FACTOR);
        let known = self.lapses_at;
        self.in_progress.retain(|_, other| *other > known);
        let key = self.in_progress.insert(lapses_at);
        Grant { key, deadline_ms }
    }

    /// Records that the call was sent, whether or not it was answered.
    pub fn settle(&mut self, grant: Grant) {
        if let Some(lapses_at) = self.in_progress.remove(grant.key) {
            self.lapses_at = self.lapses_at.max(lapses_at);
        }
    }

    /// Drops the lease of a call that was certainly not sent. It has no effect after [`Self::settle`]: an
    /// earlier attempt of the same call may have been carried out.
    pub fn withdraw(&mut self, grant: Grant) {
        self.in_progress.remove(grant.key);
    }

    /// Returns the boot time by which every lease has certainly lapsed.
    pub fn lapse_at(&self) -> Duration {
        let newest = self.in_progress.values().max();
        newest.map_or(self.lapses_at, |newest| self.lapses_at.max(*newest))
    }
}

//! Durations and deadlines of worker leases, which agents renew.
//!
//! An agent renews the lease by reading its orders. If the read reaches the end of the orders and
//! finds no open suspicion, the lease lasts up to [`MAX_LEASE`] from the start of the read. The
//! scheduler raises a suspicion by appending a record to the orders, and treats the worker's runs
//! as ended once [`expiry_delay`] has passed since that record was stored.

use std::time::Duration;

/// Longest lease. Short enough that a long-running task is replaced within 9 s of the loss of its
/// worker's machine.
pub const MAX_LEASE: Duration = Duration::from_millis(5_500);

/// Largest drift of a worker's clock, in thousandths.
const MAX_DRIFT_MILLI: u64 = 20;

/// Time allowed for stopping runs when a lease lapses.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// A reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The worker's clock in milliseconds, as given in a response.
    pub worker_ms: u64,
    /// The agent's boot clock when the response had arrived.
    pub at: Duration,
}

impl ClockReading {
    /// Returns the latest time that the worker's clock is guaranteed to have reached when the
    /// agent's boot clock shows `at`.
    pub fn deadline(self, at: Duration) -> u64 {
        let ahead = at.saturating_sub(self.at).as_millis();
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        self.worker_ms + ahead - ahead * MAX_DRIFT_MILLI / 1_000
    }
}

/// Returns the lease duration for a worker that grants leases of at most `max_hold`.
pub fn duration(max_hold: Duration) -> Duration {
    MAX_LEASE.min(max_hold.mul_f64(0.93))
}

/// Returns the time from the recording of a suspicion until no run can be active under `lease`.
/// Covers clock drift and the stopping of runs.
pub fn expiry_delay(lease: Duration) -> Duration {
    lease + lease.mul_f64(0.025) + STOP_MARGIN
}

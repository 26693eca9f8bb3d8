//! Arithmetic of the leases that a worker's agent extends.
//!
//! An agent may keep its worker's tasks running until [`LEASE`] after it began a read of its orders
//! that reached their end and found no open suspicion. The scheduler raises a suspicion with a
//! record among these orders and takes the runs as ended [`LEASE`] and a margin later.

use std::time::Duration;

/// Longest time that runs outlive the agent's newest evidence. Short enough that a lasting task is
/// replaced within nine seconds of the loss of its worker's machine.
pub const MAX_LEASE: Duration = Duration::from_millis(5_500);

/// Share of the lease, in thousandths, that a worker's clock may lose: two percent.
const DRIFT_MILLI: u64 = 20;

/// Allowance for a stop that is carried out when the lease lapses.
const STOP_MARGIN: Duration = Duration::from_millis(150);

/// Reading of a worker's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ClockReading {
    /// The worker's clock in milliseconds, as an answer gave it.
    pub worker_ms: u64,
    /// The agent's boot clock when the answer had arrived.
    pub at: Duration,
}

impl ClockReading {
    /// The latest time on the worker's clock that it surely has reached by `at` on the agent's.
    pub fn deadline(self, at: Duration) -> u64 {
        let ahead = at.saturating_sub(self.at).as_millis();
        let ahead = u64::try_from(ahead).unwrap_or(u64::MAX);
        self.worker_ms + ahead - ahead * DRIFT_MILLI / 1_000
    }
}

/// The lease as a worker with the longest lease `most` grants it.
pub fn duration(most: Duration) -> Duration {
    MAX_LEASE.min(most.mul_f64(0.93))
}

/// Time after a suspicion is on record by which nothing runs under the suspected lease.
pub fn expiry_delay(lease: Duration) -> Duration {
    lease + lease.mul_f64(0.025) + STOP_MARGIN
}

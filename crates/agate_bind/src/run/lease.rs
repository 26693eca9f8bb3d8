//! The lease under which an incarnation holds its runs.

use std::time::Duration;

use agate_core::Moment;

/// Longest lease that a preset allows.
const MAX_LENGTH: Duration = Duration::from_hours(1);

/// The lease on all runs of an incarnation. Times are on the machine's boot clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    expires_at: Moment,
}

impl Lease {
    /// Renews the lease for `length`, counted from `sent`, the time at which the heartbeat that
    /// requested it was sent. Several entries grant leases, so a grant never shortens the lease.
    /// A longer grant than a preset allows counts as the longest one.
    pub fn renew(&mut self, sent: Moment, length: Duration) {
        self.expires_at = self.expires_at.max(sent + length.min(MAX_LENGTH));
    }

    /// Whether the lease has expired at `now`.
    pub fn is_expired(self, now: Moment) -> bool {
        now >= self.expires_at
    }

    /// Returns when the lease expires.
    pub const fn expires_at(self) -> Moment {
        self.expires_at
    }
}

//! The lease under which an incarnation holds its runs.

use std::time::Duration;

use agate_core::Moment;

/// The lease on all runs of an incarnation. Moments are on the boot clock of the machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Lease {
    until: Moment,
}

impl Lease {
    /// Takes a grant of `length`, counted from `sent`: the moment at which the heartbeat that asked
    /// for it was sent. Several entries grant leases, so a shorter grant takes nothing back.
    pub fn renew(&mut self, sent: Moment, length: Duration) {
        self.until = self.until.max(sent + length);
    }

    /// Whether the lease has lapsed at `now`.
    pub fn is_expired(self, now: Moment) -> bool {
        now >= self.until
    }

    /// When the lease ends.
    pub const fn expires_at(self) -> Moment {
        self.until
    }
}

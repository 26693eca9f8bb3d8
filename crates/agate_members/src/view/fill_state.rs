//! Completeness of a new view.

use std::time::Duration;

use agate_core::Moment;

use super::View;

/// Number of heartbeat intervals within which every agent should reach a new entry.
const FILL_HEARTBEAT_INTERVALS: u32 = 2;

/// Percentage of the members known to a peer at which a view counts as full.
const FULL_PERCENT: u64 = 90;

/// Whether a view is complete enough for weighted load balancing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FillState {
    /// Members are still missing. All known members have the same weight, and each gets at most as
    /// many concurrent requests as it has slots.
    Filling,
    /// The view is complete.
    Full,
}

impl View {
    /// Returns whether the view is complete enough for weighted load balancing.
    pub fn fill_state(&self, now: Moment) -> FillState {
        let interval = Duration::from_millis(u64::from(self.policy.heartbeat_ms));
        let young = now.since(self.created_at) < interval * FILL_HEARTBEAT_INTERVALS;
        if young || self.lags_peers(now) {
            FillState::Filling
        } else {
            FillState::Full
        }
    }

    /// Records the number of members that another entry knows.
    pub fn record_peer_size(&mut self, members: u32) {
        self.peer_size = self.peer_size.max(members);
    }

    /// Returns whether peers know clearly more members. Always false once this view is older than
    /// the suspicion timeout, because members that a peer knew may be gone permanently.
    fn lags_peers(&self, now: Moment) -> bool {
        let timeout = Duration::from_millis(u64::from(self.policy.suspect_ms));
        let known = self.members.len() as u64;
        let required = u64::from(self.peer_size) * FULL_PERCENT;
        now.since(self.created_at) < timeout && known * 100 < required
    }
}

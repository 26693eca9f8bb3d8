//! How much of the cluster a young view can be expected to know.

use std::time::Duration;

use agate_core::Moment;

use super::View;

/// Heartbeat intervals within which every agent should have reached a new entry.
const FILL_HEARTBEAT_INTERVALS: u32 = 2;

/// Share of the members that a peer knows, in percent, above which a view counts as full.
const FULL_PERCENT: u64 = 90;

/// Whether a view is complete enough to be trusted with load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum FillState {
    /// Members are still missing. The known ones weigh the same, and each gets at most as many
    /// requests at once as it has slots.
    Filling,
    /// The view is as complete as it gets.
    Full,
}

impl View {
    /// Whether the view is complete enough to be trusted with load.
    pub fn fill_state(&self, now: Moment) -> FillState {
        let interval = Duration::from_millis(u64::from(self.policy.heartbeat_ms));
        let young = now.since(self.created_at) < interval * FILL_HEARTBEAT_INTERVALS;
        if young || self.lags_peers(now) {
            FillState::Filling
        } else {
            FillState::Full
        }
    }

    /// Takes over how many members another entry knows.
    pub fn record_peer_size(&mut self, members: u32) {
        self.peer_size = self.peer_size.max(members);
    }

    /// Whether peers know clearly more members. Counts only until silent members would have been
    /// forgotten, as those that a peer knew may be gone for good.
    fn lags_peers(&self, now: Moment) -> bool {
        let timeout = Duration::from_millis(u64::from(self.policy.suspect_ms));
        let known = self.members.len() as u64;
        let required = u64::from(self.peer_size) * FULL_PERCENT;
        now.since(self.created_at) < timeout && known * 100 < required
    }
}

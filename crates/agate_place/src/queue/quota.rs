//! Team quotas and the usage charged to them.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{Resources, TeamName};
use agate_preset::TeamQuota;

use super::Queue;
use crate::TeamKey;

impl Queue {
    /// Replaces the quotas and the ageing time.
    pub fn configure(&mut self, quotas: BTreeMap<TeamName, TeamQuota>, ageing: Duration) {
        self.teams.configure(quotas, ageing);
    }

    /// Sets the total capacity of all workers.
    pub fn set_total(&mut self, total: Resources) {
        self.teams.set_total(total);
    }

    /// Charges an amount to a team.
    pub fn charge(&mut self, team: TeamKey, amount: Resources) {
        self.teams.charge(team, amount);
    }

    /// Releases an amount charged to a team.
    pub fn release(&mut self, team: TeamKey, amount: Resources) {
        self.teams.release(team, amount);
    }

    /// Returns the amount charged to a team.
    pub fn held(&self, team: TeamKey) -> Resources {
        self.teams.held(team)
    }

    /// Whether `amount` more would exceed the quota of a team that may not borrow.
    pub fn exceeds_quota(&self, team: TeamKey, amount: Resources) -> bool {
        self.teams.exceeds_quota(team, amount)
    }

    /// Offers a team again.
    pub fn uncap(&mut self, team: TeamKey) {
        self.teams.uncap(team);
    }

    /// Skips a team until one of its runs ends, or [`Self::uncap`].
    pub fn cap(&mut self, team: TeamKey) {
        self.teams.cap(team);
    }
}

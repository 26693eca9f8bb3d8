//! Quotas of teams and what counts against them.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{Resources, TeamName};
use agate_preset::TeamQuota;

use super::Queue;
use crate::TeamKey;

impl Queue {
    /// Replaces quotas and the ageing time.
    pub fn configure(&mut self, quotas: BTreeMap<TeamName, TeamQuota>, ageing: Duration) {
        self.teams.configure(quotas, ageing);
    }

    /// Sets what all workers have together.
    pub fn set_total(&mut self, total: Resources) {
        self.teams.set_total(total);
    }

    /// Counts an amount against a team.
    pub fn charge(&mut self, team: TeamKey, amount: Resources) {
        self.teams.charge(team, amount);
    }

    /// Gives an amount of a team back.
    pub fn release(&mut self, team: TeamKey, amount: Resources) {
        self.teams.release(team, amount);
    }

    /// What a team holds.
    pub fn held(&self, team: TeamKey) -> Resources {
        self.teams.held(team)
    }

    /// Whether `amount` more would pass the quota of a team that may not borrow.
    pub fn exceeds_quota(&self, team: TeamKey, amount: Resources) -> bool {
        self.teams.exceeds_quota(team, amount)
    }

    /// Leaves a team out until some of its work ends.
    pub fn cap(&mut self, team: TeamKey) {
        self.teams.cap(team);
    }
}

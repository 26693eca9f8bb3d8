//! The order of teams: weighted dominant share with ageing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_core::{Moment, Resources, TeamName};
use agate_preset::TeamQuota;

use crate::amount;
use crate::names::Names;
use crate::{ClassKey, TeamKey};

/// Largest share that counts, in whole quotas.
const MAX_SHARE: f64 = 1_000.0;

/// A team without a quota is weighed as if it had this share of all workers, in percent.
const FLOOR_PERCENT: u32 = 1;

#[derive(Debug, Default)]
struct Team {
    quota: Option<TeamQuota>,
    held: Resources,
    /// Buckets with ready jobs, longest waiting first.
    buckets: BTreeSet<(Moment, ClassKey)>,
    /// The rank under which the team is listed.
    listed: Option<u64>,
    /// Whether the team waits for some of its own work to end.
    capped: bool,
}

/// The teams in the order in which they are served. A team's rank is the time since which its
/// longest waiting bucket waits, plus its dominant share times the ageing time. Waiting raises every
/// team at the same pace, so ranks change only when a team is served, charged or released.
#[derive(Debug)]
pub(crate) struct Teams {
    names: Names<TeamName, TeamKey>,
    arena: Vec<Team>,
    order: BTreeSet<(u64, TeamKey)>,
    quotas: BTreeMap<TeamName, TeamQuota>,
    ageing: Duration,
    total: Resources,
}

impl Teams {
    pub(crate) fn new(quotas: BTreeMap<TeamName, TeamQuota>, ageing: Duration) -> Self {
        Self {
            names: Names::default(),
            arena: Vec::new(),
            order: BTreeSet::new(),
            quotas,
            ageing,
            total: Resources::ZERO,
        }
    }

    pub(crate) fn intern(&mut self, name: &TeamName) -> TeamKey {
        let key = self.names.intern(name);
        if key.0 as usize >= self.arena.len() {
            self.arena.push(Team {
                quota: self.quotas.get(name).copied(),
                ..Team::default()
            });
        }
        key
    }

    /// Replaces every quota and the ageing time.
    pub(crate) fn configure(&mut self, quotas: BTreeMap<TeamName, TeamQuota>, ageing: Duration) {
        self.ageing = ageing;
        for team in &mut self.arena {
            team.quota = None;
            team.capped = false;
        }
        for (name, quota) in &quotas {
            let key = self.intern(name);
            self.arena[key.0 as usize].quota = Some(*quota);
        }
        self.quotas = quotas;
        self.refresh_all();
    }

    /// Sets what all workers have together.
    pub(crate) fn set_total(&mut self, total: Resources) {
        if self.total != total {
            self.total = total;
            self.refresh_all();
        }
    }

    pub(crate) fn charge(&mut self, key: TeamKey, amount: Resources) {
        self.arena[key.0 as usize].held += amount;
        self.refresh(key);
    }

    pub(crate) fn release(&mut self, key: TeamKey, amount: Resources) {
        let team = &mut self.arena[key.0 as usize];
        team.held = team.held.saturating_sub(amount);
        team.capped = false;
        self.refresh(key);
    }

    pub(crate) fn held(&self, key: TeamKey) -> Resources {
        self.arena[key.0 as usize].held
    }

    /// Whether `amount` more would pass the quota of a team that may not borrow.
    pub(crate) fn exceeds_quota(&self, key: TeamKey, amount: Resources) -> bool {
        let team = &self.arena[key.0 as usize];
        match team.quota {
            Some(quota) if !quota.borrow => !(team.held + amount).fits_in(quota.guaranteed),
            _ => false,
        }
    }

    /// Leaves the team out until some of its work ends.
    pub(crate) fn cap(&mut self, key: TeamKey) {
        self.arena[key.0 as usize].capped = true;
        self.refresh(key);
    }

    /// Moves a bucket within its team's list.
    pub(crate) fn relist(
        &mut self,
        key: TeamKey,
        class: ClassKey,
        from: Option<Moment>,
        to: Option<Moment>,
    ) {
        let team = &mut self.arena[key.0 as usize];
        if let Some(from) = from {
            team.buckets.remove(&(from, class));
        }
        if let Some(to) = to {
            team.buckets.insert((to, class));
        }
        self.refresh(key);
    }

    /// The bucket that is served next.
    pub(crate) fn first(&self) -> Option<(TeamKey, ClassKey)> {
        let &(_, key) = self.order.first()?;
        let &(_, class) = self.arena[key.0 as usize].buckets.first()?;
        Some((key, class))
    }

    fn refresh_all(&mut self) {
        for index in 0..self.arena.len() {
            self.refresh(TeamKey(amount::count(index)));
        }
    }

    fn refresh(&mut self, key: TeamKey) {
        let rank = self.rank(key);
        let team = &mut self.arena[key.0 as usize];
        if team.listed == rank {
            return;
        }
        if let Some(old) = team.listed.take() {
            self.order.remove(&(old, key));
        }
        if let Some(rank) = rank {
            self.order.insert((rank, key));
        }
        team.listed = rank;
    }

    fn rank(&self, key: TeamKey) -> Option<u64> {
        let team = &self.arena[key.0 as usize];
        if team.capped {
            return None;
        }
        let &(since, _) = team.buckets.first()?;
        let delay = self.share(team) * self.ageing.as_secs_f64() * 1e6;
        Some(since.as_micros().saturating_add(amount::to_u64(delay)))
    }

    fn share(&self, team: &Team) -> f64 {
        let floor = Resources {
            accelerators: self.total.accelerators.div_ceil(100),
            ..amount::percent(self.total, FLOOR_PERCENT)
        };
        let guaranteed = team.quota.map_or(Resources::ZERO, |q| q.guaranteed);
        let weight = guaranteed.max(floor);
        team.held.dominant_share(weight).min(MAX_SHARE)
    }
}

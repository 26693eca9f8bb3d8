//! Orders teams by weighted dominant share with ageing.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_core::{Moment, Resources, TeamName};
use agate_preset::TeamQuota;

use crate::amount;
use crate::interner::Interner;
use crate::{ClassKey, TeamKey};

/// Maximum dominant share that counts, in multiples of the quota.
const MAX_SHARE: f64 = 1_000.0;

/// Minimum weight of a team, with or without a quota, as a percentage of all workers.
const MIN_SHARE_PERCENT: u32 = 1;

#[derive(Debug, Default)]
struct Team {
    quota: Option<TeamQuota>,
    held: Resources,
    /// Buckets with ready jobs, longest waiting first.
    buckets: BTreeSet<(Moment, ClassKey)>,
    /// The rank under which the team is currently listed.
    listed_rank: Option<u64>,
    /// Whether the team is skipped until one of its runs ends, or it is held back no longer.
    capped: bool,
}

/// Teams in service order. The rank of a team is the start of its longest wait plus its dominant
/// share times the ageing time. Waiting raises all teams equally, so ranks change only when a team
/// is served, charged or released.
#[derive(Debug)]
pub(crate) struct Teams {
    names: Interner<TeamName, TeamKey>,
    arena: Vec<Team>,
    order: BTreeSet<(u64, TeamKey)>,
    quotas: BTreeMap<TeamName, TeamQuota>,
    ageing: Duration,
    total: Resources,
}

impl Teams {
    pub(crate) fn new(quotas: BTreeMap<TeamName, TeamQuota>, ageing: Duration) -> Self {
        Self {
            names: Interner::default(),
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

    /// Replaces all quotas and the ageing time.
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

    /// Sets the total capacity of all workers.
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

    /// Whether `amount` more would exceed the quota of a team that may not borrow.
    pub(crate) fn exceeds_quota(&self, key: TeamKey, amount: Resources) -> bool {
        let team = &self.arena[key.0 as usize];
        match team.quota {
            Some(quota) if !quota.borrow => !(team.held + amount).fits_in(quota.guaranteed),
            _ => false,
        }
    }

    /// Offers the team again.
    pub(crate) fn uncap(&mut self, key: TeamKey) {
        self.arena[key.0 as usize].capped = false;
        self.refresh(key);
    }

    /// Skips the team until one of its runs ends, or [`Self::uncap`].
    pub(crate) fn cap(&mut self, key: TeamKey) {
        self.arena[key.0 as usize].capped = true;
        self.refresh(key);
    }

    /// Moves a bucket to another position in its team.
    pub(crate) fn reorder(
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

    /// Returns the bucket to serve next.
    pub(crate) fn first(&self) -> Option<(TeamKey, ClassKey)> {
        let &(_, key) = self.order.first()?;
        let &(_, class) = self.arena[key.0 as usize].buckets.first()?;
        Some((key, class))
    }

    fn refresh_all(&mut self) {
        for index in 0..self.arena.len() {
            self.refresh(TeamKey(amount::saturating_u32(index)));
        }
    }

    fn refresh(&mut self, key: TeamKey) {
        let rank = self.rank(key);
        let team = &mut self.arena[key.0 as usize];
        if team.listed_rank == rank {
            return;
        }
        if let Some(old) = team.listed_rank.take() {
            self.order.remove(&(old, key));
        }
        if let Some(rank) = rank {
            self.order.insert((rank, key));
        }
        team.listed_rank = rank;
    }

    fn rank(&self, key: TeamKey) -> Option<u64> {
        let team = &self.arena[key.0 as usize];
        if team.capped {
            return None;
        }
        let &(waiting_since, _) = team.buckets.first()?;
        let delay = self.share(team) * self.ageing.as_secs_f64() * 1e6;
        Some(
            waiting_since
                .as_micros()
                .saturating_add(amount::to_u64(delay)),
        )
    }

    fn share(&self, team: &Team) -> f64 {
        let floor = Resources {
            accelerators: self.total.accelerators.div_ceil(100),
            ..amount::percent_of(self.total, MIN_SHARE_PERCENT)
        };
        let guaranteed = team.quota.map_or(Resources::ZERO, |q| q.guaranteed);
        let weight = guaranteed.max(floor);
        team.held.dominant_share(weight).min(MAX_SHARE)
    }
}

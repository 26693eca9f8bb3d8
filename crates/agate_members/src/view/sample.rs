//! Weighted sampling of candidates for new work.

use std::time::Duration;

use agate_core::{ClassName, Host, Moment};
use rand::Rng;

use super::{FillState, View};
use crate::pool::Pool;
use crate::{MemberKey, Scope};

/// Weighted tries per candidate. The same number of unweighted tries follows if needed.
const TRIES_PER_CANDIDATE: usize = 4;

/// Minimum fraction of its full weight that a new member gets.
const MIN_WARMUP_WEIGHT: f64 = 0.1;

/// Selects the members to sample from.
#[derive(Debug, Clone, Copy)]
pub struct CandidateQuery<'a> {
    /// The kind of host that the agents run beside.
    pub host: Host,
    /// The class that the members serve.
    pub class: &'a ClassName,
    /// Distance of the members.
    pub scope: Scope,
    /// Time over which the weight of a new member rises to its full value.
    pub warmup: Duration,
}

impl View {
    /// Samples up to `wanted` distinct members into `out`, in proportion to their weights: the
    /// number of slots, reduced for a new member. The cost depends on `wanted` and the number of
    /// sites, not on the number of members.
    pub fn sample(
        &self,
        query: &CandidateQuery<'_>,
        wanted: usize,
        out: &mut Vec<MemberKey>,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let total: usize = self.pools(query).map(|pool| pool.keys().len()).sum();
        let max_slots = self.pools(query).map(Pool::max_slots).max().unwrap_or(0);
        let count = wanted.min(total);
        if count == total {
            out.extend(self.pools(query).flat_map(Pool::keys));
            return;
        }
        let start = out.len();
        let fill = self.fill_state(now);
        for tries in 0..count * TRIES_PER_CANDIDATE * 2 {
            if out.len() - start == count {
                return;
            }
            let Some(key) = self.nth_candidate(query, rng.random_range(0..total)) else {
                return;
            };
            let weighted = tries < count * TRIES_PER_CANDIDATE;
            let accepted = !weighted || self.accept(key, max_slots, query.warmup, fill, now, rng);
            if accepted && !out[start..].contains(&key) {
                out.push(key);
            }
        }
    }

    /// Returns the fraction of its full weight that a member has, from 0.1 for a new member to 1.
    pub fn warmup_weight(&self, key: MemberKey, warmup: Duration, now: Moment) -> f64 {
        let Some(member) = self.members.get(key) else {
            return 0.0;
        };
        if member.joined == Moment::ZERO || warmup.is_zero() {
            return 1.0;
        }
        let age = now.since(member.joined).as_secs_f64();
        (age / warmup.as_secs_f64()).clamp(MIN_WARMUP_WEIGHT, 1.0)
    }

    fn accept(
        &self,
        key: MemberKey,
        max_slots: u32,
        warmup: Duration,
        fill: FillState,
        now: Moment,
        rng: &mut impl Rng,
    ) -> bool {
        if fill == FillState::Filling {
            return true;
        }
        let slots = self.members[key].info.capacity.slots;
        let weight = f64::from(slots) * self.warmup_weight(key, warmup, now);
        rng.random::<f64>() * f64::from(max_slots) < weight
    }

    fn nth_candidate(&self, query: &CandidateQuery<'_>, mut n: usize) -> Option<MemberKey> {
        for pool in self.pools(query) {
            let keys = pool.keys();
            if n < keys.len() {
                return Some(keys[n]);
            }
            n -= keys.len();
        }
        None
    }

    pub(super) fn pools(&self, query: &CandidateQuery<'_>) -> impl Iterator<Item = &Pool> {
        let (host, class, scope) = (query.host, query.class, query.scope);
        let in_scope = self.sites.iter().filter(move |site| site.scope == scope);
        in_scope.flat_map(move |site| site.host(host).serving(class))
    }
}

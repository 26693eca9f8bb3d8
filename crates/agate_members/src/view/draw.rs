//! Draws candidates for new work.

use std::time::Duration;

use agate_core::{ClassName, Host, Moment};
use rand::Rng;

use super::{Fill, View};
use crate::pool::Pool;
use crate::{MemberKey, Scope};

/// Draws made for each candidate wanted before less likely members are taken as they come.
const TRIES: usize = 4;

/// Smallest share of its full weight that a newcomer has.
const FLOOR: f64 = 0.1;

/// Which members are drawn from.
#[derive(Debug, Clone, Copy)]
pub struct Draw<'a> {
    /// What the agents run beside.
    pub host: Host,
    /// The class to be served.
    pub class: &'a ClassName,
    /// How far away the members are.
    pub scope: Scope,
    /// Time over which a newcomer's weight rises to its full size.
    pub warmup: Duration,
}

impl View {
    /// Draws up to `wanted` different members into `out`, each in proportion to its weight: its
    /// slots, reduced for a newcomer. The cost depends on `wanted` and on the number of sites, not
    /// on the number of members.
    pub fn draw(
        &self,
        draw: &Draw<'_>,
        wanted: usize,
        out: &mut Vec<MemberKey>,
        now: Moment,
        rng: &mut impl Rng,
    ) {
        let total: usize = self.pools(draw).map(|pool| pool.keys().len()).sum();
        let top = self.pools(draw).map(Pool::top).max().unwrap_or(0);
        let goal = wanted.min(total);
        if goal == total {
            out.extend(self.pools(draw).flat_map(Pool::keys));
            return;
        }
        let start = out.len();
        let fill = self.fill(now);
        for tries in 0..goal * TRIES * 2 {
            if out.len() - start == goal {
                return;
            }
            let Some(key) = self.nth(draw, rng.random_range(0..total)) else {
                return;
            };
            let picky = tries < goal * TRIES;
            let accepted = !picky || self.accepts(key, top, draw.warmup, fill, now, rng);
            if accepted && !out[start..].contains(&key) {
                out.push(key);
            }
        }
    }

    /// A newcomer's share of its full weight, from a tenth to one.
    pub fn warmth(&self, key: MemberKey, warmup: Duration, now: Moment) -> f64 {
        let Some(member) = self.members.get(key) else {
            return 0.0;
        };
        if member.joined == Moment::ZERO || warmup.is_zero() {
            return 1.0;
        }
        let age = now.since(member.joined).as_secs_f64();
        (age / warmup.as_secs_f64()).clamp(FLOOR, 1.0)
    }

    fn accepts(
        &self,
        key: MemberKey,
        top: u32,
        warmup: Duration,
        fill: Fill,
        now: Moment,
        rng: &mut impl Rng,
    ) -> bool {
        if fill == Fill::Filling {
            return true;
        }
        let slots = self.members[key].info.capacity.slots;
        let weight = f64::from(slots) * self.warmth(key, warmup, now);
        rng.random::<f64>() * f64::from(top) < weight
    }

    fn nth(&self, draw: &Draw<'_>, mut n: usize) -> Option<MemberKey> {
        for pool in self.pools(draw) {
            let keys = pool.keys();
            if n < keys.len() {
                return Some(keys[n]);
            }
            n -= keys.len();
        }
        None
    }

    pub(super) fn pools(&self, draw: &Draw<'_>) -> impl Iterator<Item = &Pool> {
        let (host, class, scope) = (draw.host, draw.class, draw.scope);
        let near = self.sites.iter().filter(move |site| site.scope == scope);
        near.flat_map(move |site| site.host(host).serving(class))
    }
}

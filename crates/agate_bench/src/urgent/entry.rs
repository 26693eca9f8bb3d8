//! Simulated entries.

use std::collections::BTreeSet;

use agate_core::{ClassName, Moment};
use agate_members::{MemberKey, MemberStatus, View};
use agate_preset::Preset;
use agate_route::budget::Deadline;
use agate_route::choose::{Choice, Chooser, Request};
use agate_route::outlier::OutlierDetector;
use agate_route::retry::RetryBudgets;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::member::site;
use super::scenario::{RoutingPolicy, ZONES};

/// Bytes of one request.
const REQUEST_BYTES: u64 = 500;

/// An entry with its own view and routing state.
#[derive(Debug)]
pub(super) struct Entry {
    pub(super) zone: usize,
    pub(super) view: View,
    pub(super) chooser: Chooser,
    pub(super) detector: OutlierDetector,
    pub(super) budgets: RetryBudgets,
    pub(super) rng: SmallRng,
    /// Open attempts by member.
    pub(super) open: BTreeSet<(MemberKey, usize)>,
    /// Round-robin counter.
    next_turn: usize,
}

impl Entry {
    pub(super) fn new(index: usize, preset: &Preset, seed: u64) -> Self {
        let zone = index % ZONES;
        let now = Moment::ZERO;
        Self {
            zone,
            view: View::new(site(zone), preset.membership, now),
            chooser: Chooser::new(preset.routing, preset.link, now),
            detector: OutlierDetector::new(preset.routing),
            budgets: RetryBudgets::new(now),
            rng: SmallRng::seed_from_u64(seed.wrapping_add(index as u64)),
            open: BTreeSet::new(),
            next_turn: index,
        }
    }

    /// Chooses a member by the given policy, or returns `None` if none is available.
    pub(super) fn choose_member(
        &mut self,
        routing: RoutingPolicy,
        class: &ClassName,
        deadline: Moment,
        tried: &[MemberKey],
        now: Moment,
    ) -> Option<MemberKey> {
        match routing {
            RoutingPolicy::Policy => self.choose_by_policy(class, deadline, tried, now),
            RoutingPolicy::RoundRobin => self.choose_round_robin(),
            RoutingPolicy::LeastLoaded => self.choose_least_loaded(),
        }
    }

    /// Records that an attempt was sent.
    pub(super) fn record_sent_attempt(&mut self, key: MemberKey, attempt: usize, now: Moment) {
        self.open.insert((key, attempt));
        self.chooser
            .record_sent(key, REQUEST_BYTES, &self.view, now);
    }

    /// Records the end of an attempt and returns whether it was open.
    pub(super) fn close_attempt(&mut self, key: MemberKey, attempt: usize, now: Moment) -> bool {
        let was_open = self.open.remove(&(key, attempt));
        if was_open {
            self.chooser.record_end(key, REQUEST_BYTES, &self.view, now);
        }
        was_open
    }

    /// Returns the open attempts at a member.
    pub(super) fn open_attempts(&self, key: MemberKey) -> Vec<usize> {
        let all = (key, 0)..=(key, usize::MAX);
        self.open.range(all).map(|(_, attempt)| *attempt).collect()
    }

    fn choose_by_policy(
        &mut self,
        class: &ClassName,
        deadline: Moment,
        tried: &[MemberKey],
        now: Moment,
    ) -> Option<MemberKey> {
        let request = Request {
            class,
            deadline: Deadline::after(now, now.until(deadline)),
            bytes: REQUEST_BYTES,
            tried,
        };
        let (view, detector) = (&self.view, &mut self.detector);
        match self
            .chooser
            .choose(&request, view, detector, now, &mut self.rng)
        {
            Choice::Send { key, .. } | Choice::Probe(key) => Some(key),
            Choice::Refuse { .. } => None,
        }
    }

    fn choose_round_robin(&mut self) -> Option<MemberKey> {
        let active = self.active_members();
        self.next_turn += 1;
        let count = active.len().max(1);
        active.get(self.next_turn % count).copied()
    }

    fn choose_least_loaded(&mut self) -> Option<MemberKey> {
        self.next_turn += 1;
        let mut active = self.active_members();
        let count = active.len().max(1);
        active.rotate_left(self.next_turn % count);
        active.into_iter().min_by_key(|key| self.member_load(*key))
    }

    fn active_members(&self) -> Vec<MemberKey> {
        let is_active = |key: &MemberKey| {
            let member = self.view.get(*key);
            member.is_some_and(|member| member.status() == MemberStatus::Active)
        };
        self.view
            .iter()
            .map(|(key, _)| key)
            .filter(is_active)
            .collect()
    }

    /// Returns the requests at a member by its latest load sample, but at least those that this
    /// entry has in flight there.
    fn member_load(&self, key: MemberKey) -> u32 {
        let sample = self.view.get(key).map(|member| member.load_sample().load);
        let reported = sample.map_or(0, |load| load.running + load.queued);
        reported.max(self.chooser.in_flight(key))
    }
}

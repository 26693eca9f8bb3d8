//! Choice of a member.

use std::time::Duration;

use agate_core::{Host, Moment};
use agate_members::{CandidateQuery, FillState, MemberKey, Occupancy, Scope, View};
use agate_preset::policy::{Link, Routing};
use rand::Rng;

use super::traffic::TrafficTable;
use super::{Choice, Estimate, RefusalReason, Request};
use crate::ewma::EwmaDuration;
use crate::link::ByteBudget;
use crate::outlier::OutlierDetector;

/// Shortest retry-after time before jitter.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Longest retry-after time before jitter.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Largest jitter added to the retry-after time.
const RETRY_JITTER: Duration = Duration::from_millis(200);

/// Chooses members for the requests of one entry.
#[derive(Debug)]
pub struct Chooser {
    routing: Routing,
    link: Link,
    budget: ByteBudget,
    traffic: TrafficTable,
    service_time: EwmaDuration,
    drawn: Vec<MemberKey>,
}

/// A candidate with its estimate.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: MemberKey,
    scope: Scope,
    estimate: Estimate,
    in_flight: u32,
    /// Whether it is still warming up and has its share of requests.
    over_share: bool,
}

impl Chooser {
    /// Creates an instance with nothing in flight.
    pub fn new(routing: Routing, link: Link, now: Moment) -> Self {
        Self {
            routing,
            link,
            budget: ByteBudget::new(link, now),
            traffic: TrafficTable::default(),
            service_time: EwmaDuration::default(),
            drawn: Vec::new(),
        }
    }

    /// Replaces the policies, for example after a switch to another preset.
    pub const fn set_policy(&mut self, routing: Routing, link: Link) {
        self.routing = routing;
        self.link = link;
    }

    /// Chooses a member for `request`. If the request is then sent, call [`Self::record_sent`].
    pub fn choose(
        &mut self,
        request: &Request<'_>,
        view: &View,
        detector: &mut OutlierDetector,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Choice {
        let left = request.deadline.remaining(now);
        if let Some(key) = detector.pick_probe(view, request, now) {
            return Choice::Probe(key);
        }
        let near = self.near(request, view, now, rng);
        let in_time = |c: &Candidate| c.estimate.total <= left;
        if let Some(best) = near.filter(in_time) {
            return best.choice();
        }
        match self.remote(request, view, now, rng) {
            Ok(Some(far)) => far.choice(),
            Ok(None) => self.fall_back(near, request, view, now, rng),
            Err(wait) => near
                .filter(|best| best.is_worth_trying(left))
                .map_or_else(|| refuse(RefusalReason::Link, wait, rng), Candidate::choice),
        }
    }

    /// Records that a request of `bytes` bytes was sent to a member.
    pub fn record_sent(&mut self, key: MemberKey, bytes: u64, view: &View, now: Moment) {
        let Some(member) = view.get(key) else { return };
        self.traffic.record_sent(key, &member.load_sample());
        self.count_bytes(member.scope(), bytes, now);
    }

    /// Records that an attempt at a member has ended, successfully or not, with `bytes` received.
    pub fn record_end(&mut self, key: MemberKey, bytes: u64, view: &View, now: Moment) {
        self.traffic.record_end(key);
        let Some(member) = view.get(key) else { return };
        self.count_bytes(member.scope(), bytes, now);
        let service_us = member.load_sample().load.service_us;
        if service_us > 0 {
            self.service_time.add(Duration::from_micros(service_us));
        }
    }

    /// Records the round-trip time of a ping.
    pub fn record_ping(&mut self, key: MemberKey, round_trip: Duration) {
        self.traffic.record_round_trip(key, round_trip);
    }

    /// Returns the one-way delay to a member.
    pub fn one_way_delay(&self, key: MemberKey, view: &View) -> Duration {
        let round_trip = |member| Estimate::round_trip(member, &self.traffic.get(key));
        view.get(key).map_or(Duration::ZERO, round_trip) / 2
    }

    /// Returns the number of this entry's requests that a member has not answered.
    pub fn in_flight(&self, key: MemberKey) -> u32 {
        self.traffic.get(key).in_flight
    }

    /// Returns the best member of this entry's zone. If the zone is full or has no candidate, the
    /// rest of the region is considered too.
    fn near(
        &mut self,
        request: &Request<'_>,
        view: &View,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let zone = view.occupancy(&self.draw(request, Scope::Zone));
        let own = self.best(request, view, Scope::Zone, now, rng);
        let spill = u64::from(self.routing.spill_percent);
        if own.is_some() && zone.percent() < spill {
            return own;
        }
        let other = self.best(request, view, Scope::Region, now, rng);
        [own, other]
            .into_iter()
            .flatten()
            .min_by_key(|candidate| candidate.estimate.total)
    }

    /// Returns the best member of another region, if it can answer in time.
    ///
    /// # Errors
    ///
    /// Returns the wait for the link's byte budget if only that prevents sending.
    fn remote(
        &mut self,
        request: &Request<'_>,
        view: &View,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Result<Option<Candidate>, Duration> {
        let left = request.deadline.remaining(now);
        let best = self.best(request, view, Scope::Remote, now, rng);
        let Some(best) = best.filter(|c| c.estimate.total <= left) else {
            return Ok(None);
        };
        if self.budget.allows(self.link, request.bytes, now) {
            return Ok(Some(best));
        }
        Err(self.budget.wait(self.link, request.bytes, now))
    }

    /// Chooses the best near member even though it is expected to be late, or refuses.
    fn fall_back(
        &self,
        near: Option<Candidate>,
        request: &Request<'_>,
        view: &View,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Choice {
        let left = request.deadline.remaining(now);
        match near {
            Some(best) if best.is_worth_trying(left) => best.choice(),
            Some(best) => refuse(RefusalReason::Late, best.estimate.wait, rng),
            None if self.has_near_members(request, view) => {
                refuse(RefusalReason::Busy, MIN_RETRY_AFTER, rng)
            }
            None => refuse(RefusalReason::NoMember, MIN_RETRY_AFTER, rng),
        }
    }

    /// Draws candidates from one scope and returns the one with the earliest expected answer.
    fn best(
        &mut self,
        request: &Request<'_>,
        view: &View,
        scope: Scope,
        now: Moment,
        rng: &mut impl Rng,
    ) -> Option<Candidate> {
        let draw = self.draw(request, scope);
        let mut drawn = std::mem::take(&mut self.drawn);
        drawn.clear();
        let wanted = self.routing.candidates as usize + request.tried.len();
        view.sample(&draw, wanted, &mut drawn, now, rng);
        let mean = view.occupancy(&draw);
        let best = drawn
            .iter()
            .filter(|key| !request.tried.contains(key))
            .filter_map(|key| self.candidate(*key, view, mean, now))
            .min_by_key(|candidate| (candidate.over_share, candidate.estimate.total));
        self.drawn = drawn;
        best
    }

    fn candidate(
        &self,
        key: MemberKey,
        view: &View,
        mean: Occupancy,
        now: Moment,
    ) -> Option<Candidate> {
        let member = view.get(key)?;
        let member_traffic = self.traffic.get(key);
        let slots = member.info().capacity.slots;
        if slots == 0
            || (view.fill_state(now) == FillState::Filling && member_traffic.in_flight >= slots)
        {
            return None;
        }
        let warmth = view.warmup_weight(key, self.warmup(), now);
        let share = f64::from(slots) * warmth;
        Some(Candidate {
            key,
            scope: member.scope(),
            estimate: Estimate::new(member, &member_traffic, mean, self.service_time.get(), now),
            in_flight: member_traffic.in_flight,
            over_share: warmth < 1.0 && f64::from(member_traffic.in_flight) >= share.ceil(),
        })
    }

    fn draw<'a>(&self, request: &Request<'a>, scope: Scope) -> CandidateQuery<'a> {
        CandidateQuery {
            host: Host::Backend,
            class: request.class,
            scope,
            warmup: self.warmup(),
        }
    }

    fn warmup(&self) -> Duration {
        Duration::from_millis(u64::from(self.routing.warmup_ms))
    }

    fn has_near_members(&self, request: &Request<'_>, view: &View) -> bool {
        [Scope::Zone, Scope::Region]
            .into_iter()
            .any(|scope| view.occupancy(&self.draw(request, scope)).members > 0)
    }

    fn count_bytes(&mut self, scope: Scope, bytes: u64, now: Moment) {
        if scope == Scope::Remote {
            self.budget.take(self.link, bytes, now);
        }
    }
}

impl Candidate {
    const fn choice(self) -> Choice {
        Choice::Send {
            key: self.key,
            scope: self.scope,
        }
    }

    /// Whether to try a member even though it is expected to be late. Its agent knows its load
    /// better, and with no request in flight there a wrong estimate would never be corrected.
    fn is_worth_trying(&self, left: Duration) -> bool {
        !left.is_zero() && (self.estimate.wait <= left || self.in_flight == 0)
    }
}

fn refuse(reason: RefusalReason, wait: Duration, rng: &mut impl Rng) -> Choice {
    let retry_after =
        wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER) + RETRY_JITTER.mul_f64(rng.random::<f64>());
    Choice::Refuse {
        reason,
        retry_after,
    }
}

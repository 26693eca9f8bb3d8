//! The choice itself.

use std::time::Duration;

use agate_core::{Host, Moment};
use agate_members::{Draw, Fill, MemberKey, Occupancy, Scope, View};
use agate_preset::policy::{Link, Routing};
use rand::Rng;

use super::flow::Flows;
use super::{Choice, Estimate, RefusalReason, Request};
use crate::link::ByteBudget;
use crate::outlier::OutlierDetector;
use crate::smoothed::Smoothed;

/// The least time after which a refused caller is told to come back.
const MIN_RETRY: Duration = Duration::from_millis(100);

/// The longest time that a caller is told to stay away, before the random addition.
const MAX_RETRY: Duration = Duration::from_secs(30);

/// The random addition to that time.
const RETRY_JITTER: Duration = Duration::from_millis(200);

/// Chooses members for the requests of one entry.
#[derive(Debug)]
pub struct Chooser {
    routing: Routing,
    link: Link,
    budget: ByteBudget,
    flows: Flows,
    service: Smoothed,
    drawn: Vec<MemberKey>,
}

/// A candidate and what is expected of it.
#[derive(Debug, Clone, Copy)]
struct Candidate {
    key: MemberKey,
    scope: Scope,
    estimate: Estimate,
    in_flight: u32,
    /// Whether it is a newcomer that has as much as it should get for now.
    over: bool,
}

impl Chooser {
    /// Starts with nothing under way.
    pub fn new(routing: Routing, link: Link, now: Moment) -> Self {
        Self {
            routing,
            link,
            budget: ByteBudget::new(link, now),
            flows: Flows::default(),
            service: Smoothed::default(),
            drawn: Vec::new(),
        }
    }

    /// Replaces the policies, as when another preset comes into force.
    pub const fn set_policy(&mut self, routing: Routing, link: Link) {
        self.routing = routing;
        self.link = link;
    }

    /// Chooses a member for `request`. A choice that is acted on must be noted by [`Self::record_sent`].
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
                .filter(|best| best.is_worth_a_try(left))
                .map_or_else(|| refuse(RefusalReason::Link, wait, rng), Candidate::choice),
        }
    }

    /// Notes that `bytes` were sent to a member.
    pub fn record_sent(&mut self, key: MemberKey, bytes: u64, view: &View, now: Moment) {
        let Some(member) = view.get(key) else { return };
        self.flows.sent(key, &member.reading());
        self.count_bytes(member.scope(), bytes, now);
    }

    /// Notes that an attempt at a member has ended, however it did, with `bytes` received.
    pub fn record_end(&mut self, key: MemberKey, bytes: u64, view: &View, now: Moment) {
        self.flows.ended(key);
        let Some(member) = view.get(key) else { return };
        self.count_bytes(member.scope(), bytes, now);
        let service_us = member.reading().load.service_us;
        if service_us > 0 {
            self.service.add(Duration::from_micros(service_us));
        }
    }

    /// Notes the round trip of a ping.
    pub fn record_ping(&mut self, key: MemberKey, round_trip: Duration) {
        self.flows.delayed(key, round_trip);
    }

    /// Time that a message takes to a member, one way.
    pub fn one_way_delay(&self, key: MemberKey, view: &View) -> Duration {
        let round_trip = |member| Estimate::round_trip(member, &self.flows.get(key));
        view.get(key).map_or(Duration::ZERO, round_trip) / 2
    }

    /// Requests of this entry that a member has not answered.
    pub fn in_flight(&self, key: MemberKey) -> u32 {
        self.flows.get(key).in_flight
    }

    /// The best member of the own zone; of the own region once the zone is full or gone.
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

    /// The best member of another region, if it can answer in time.
    ///
    /// # Errors
    ///
    /// Returns the time after which the link has bytes again if only these are missing.
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

    /// Takes the best near member although it is expected to be late, or refuses.
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
            Some(best) if best.is_worth_a_try(left) => best.choice(),
            Some(best) => refuse(RefusalReason::Late, best.estimate.wait, rng),
            None if self.knows_any(request, view) => refuse(RefusalReason::Busy, MIN_RETRY, rng),
            None => refuse(RefusalReason::NoMember, MIN_RETRY, rng),
        }
    }

    /// Draws candidates at one distance and takes the one with the earliest expected answer.
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
        view.draw(&draw, wanted, &mut drawn, now, rng);
        let mean = view.occupancy(&draw);
        let best = drawn
            .iter()
            .filter(|key| !request.tried.contains(key))
            .filter_map(|key| self.candidate(*key, view, mean, now))
            .min_by_key(|candidate| (candidate.over, candidate.estimate.total));
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
        let flow = self.flows.get(key);
        let slots = member.info().capacity.slots;
        if slots == 0 || (view.fill(now) == Fill::Filling && flow.in_flight >= slots) {
            return None;
        }
        let warmth = view.warmth(key, self.warmup(), now);
        let share = f64::from(slots) * warmth;
        Some(Candidate {
            key,
            scope: member.scope(),
            estimate: Estimate::new(member, &flow, mean, self.service.get(), now),
            in_flight: flow.in_flight,
            over: warmth < 1.0 && f64::from(flow.in_flight) >= share.ceil(),
        })
    }

    fn draw<'a>(&self, request: &Request<'a>, scope: Scope) -> Draw<'a> {
        Draw {
            host: Host::Backend,
            class: request.class,
            scope,
            warmup: self.warmup(),
        }
    }

    fn warmup(&self) -> Duration {
        Duration::from_millis(u64::from(self.routing.warmup_ms))
    }

    fn knows_any(&self, request: &Request<'_>, view: &View) -> bool {
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

    /// Whether to ask a member although it is expected to be late: the agent knows better, and
    /// without any request under way there the estimate may be wrong for good.
    fn is_worth_a_try(&self, left: Duration) -> bool {
        !left.is_zero() && (self.estimate.wait <= left || self.in_flight == 0)
    }
}

fn refuse(reason: RefusalReason, wait: Duration, rng: &mut impl Rng) -> Choice {
    let retry_after = wait.clamp(MIN_RETRY, MAX_RETRY) + RETRY_JITTER.mul_f64(rng.random::<f64>());
    Choice::Refuse {
        reason,
        retry_after,
    }
}

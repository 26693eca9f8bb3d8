//! Ejection and reinstatement of members.

use std::time::Duration;

use agate_core::{ClassName, Host, Moment};
use agate_members::{MemberKey, MemberStatus, View};
use agate_preset::policy::Routing;
use slotmap::SecondaryMap;

use super::health::{Finding, MemberHealth, Phase, ProbeState};
use super::probe_queue::ProbeQueue;
use crate::choose::Request;
use crate::per_class::PerClass;
use crate::quantile::QuantileEstimator;

/// Multiple of a member's average latency that a request must have left to be used as a probe.
const PROBE_LATENCY_FACTOR: u32 = 2;

/// Finds members that are slow or failing.
#[derive(Debug)]
pub struct OutlierDetector {
    policy: Routing,
    medians: PerClass<QuantileEstimator>,
    member_health: SecondaryMap<MemberKey, MemberHealth>,
    probe_queue: ProbeQueue,
}

impl OutlierDetector {
    /// Creates an instance that knows no member.
    pub fn new(policy: Routing) -> Self {
        Self {
            policy,
            medians: PerClass::new(QuantileEstimator::new(50)),
            member_health: SecondaryMap::new(),
            probe_queue: ProbeQueue::default(),
        }
    }

    /// Replaces the policy.
    pub const fn set_policy(&mut self, policy: Routing) {
        self.policy = policy;
    }

    /// Records a complete answer and its latency, counted from sending the request.
    pub fn record_answer(
        &mut self,
        key: MemberKey,
        class: &ClassName,
        latency: Duration,
        view: &mut View,
        now: Moment,
    ) {
        let median = self.medians.get_mut(class);
        let expected = median.get().unwrap_or(latency).as_secs_f64();
        median.add(latency);
        let ratio = latency.as_secs_f64() / expected.max(f64::MIN_POSITIVE) * 100.0;
        let limit = self.policy.outlier_percent;
        let Some(health) = self.health_mut(key) else {
            return;
        };
        let finding = health.record_answer(latency, ratio, limit);
        self.apply(key, finding, view, now);
    }

    /// Returns the median latency of complete answers to a class, or `None` before the first.
    pub fn median_latency(&self, class: &ClassName) -> Option<Duration> {
        self.medians.get(class).get()
    }

    /// Records a failure: no answer in time, an incomplete answer, or a lost connection.
    pub fn record_failure(&mut self, key: MemberKey, view: &mut View, now: Moment) {
        let Some(health) = self.health_mut(key) else {
            return;
        };
        let finding = health.record_failure();
        self.apply(key, finding, view, now);
    }

    /// Records a refusal, which does not affect a member's health.
    pub fn record_refusal(&mut self, key: MemberKey) {
        self.requeue_probe(key);
    }

    /// Returns the member that `request` should probe, if one is due. Each member has at most one
    /// probe in flight. The end of a probe must be reported by [`Self::record_answer`],
    /// [`Self::record_failure`] or [`Self::record_refusal`].
    pub fn pick_probe(
        &mut self,
        view: &View,
        request: &Request<'_>,
        now: Moment,
    ) -> Option<MemberKey> {
        self.expire_ejections(now);
        let key = self.probe_queue.front()?;
        let Some(member) = view.get(key) else {
            self.probe_queue.pop_front();
            return None;
        };
        if member.status() != MemberStatus::Ejected {
            self.postpone_probe(key, now);
            return None;
        }
        let classes = &member.info().classes;
        let serves = classes.is_empty() || classes.contains(request.class);
        let fits = serves && !request.tried.contains(&key) && self.has_time(key, request, now);
        self.probe_queue.pop_front();
        if fits {
            self.member_health.get_mut(key)?.probe_sent();
            return Some(key);
        }
        self.probe_queue.push_ready(key);
        None
    }

    fn apply(&mut self, key: MemberKey, finding: Finding, view: &mut View, now: Moment) {
        let Some(health) = self.member_health.get(key) else {
            return;
        };
        match (finding, health.phase) {
            (Finding::Unhealthy, Phase::Serving) if self.may_eject(view) => {
                view.eject(key);
                self.eject(key, now);
            }
            (Finding::Unhealthy, Phase::Probing { .. }) => self.eject(key, now),
            (Finding::Recovered, _) => {
                self.member_health[key].mark_reinstated(now);
                view.reinstate(key, now);
            }
            (Finding::NoChange, Phase::Probing { .. }) => self.requeue_probe(key),
            (Finding::Unhealthy | Finding::NoChange, _) => {}
        }
    }

    fn eject(&mut self, key: MemberKey, now: Moment) {
        let ejection_time = self.ejection_time();
        let until = self.member_health[key].eject(ejection_time, now);
        self.probe_queue.push_ejected(key, until);
    }

    /// Whether one more member may be ejected.
    fn may_eject(&self, view: &View) -> bool {
        let ejected = view.ejected_count();
        let all = view.active_occupancy(Host::Backend).members + ejected;
        (ejected + 1) * 100 <= all * self.policy.ejected_percent as usize
    }

    fn expire_ejections(&mut self, now: Moment) {
        while let Some(key) = self.probe_queue.pop_expired(now) {
            let Some(health) = self.member_health.get_mut(key) else {
                continue;
            };
            if !matches!(health.phase, Phase::Ejected(_)) {
                continue;
            }
            health.phase = Phase::Probing {
                since: now,
                successes: 0,
                probe: ProbeState::Idle,
            };
            self.probe_queue.push_ready(key);
        }
    }

    /// Whether a request leaves enough time for the member's average latency. After a whole
    /// ejection time in the probing phase, any request is accepted.
    fn has_time(&self, key: MemberKey, request: &Request<'_>, now: Moment) -> bool {
        let Some(health) = self.member_health.get(key) else {
            return true;
        };
        let Phase::Probing { since, .. } = health.phase else {
            return true;
        };
        let latency = health.latency.get().unwrap_or(Duration::ZERO);
        let needed = latency * PROBE_LATENCY_FACTOR;
        request.deadline.remaining(now) >= needed || now.since(since) >= self.ejection_time()
    }

    /// Postpones the probes of a member by one ejection time.
    fn postpone_probe(&mut self, key: MemberKey, now: Moment) {
        self.probe_queue.pop_front();
        let until = now + self.ejection_time();
        if let Some(health) = self.member_health.get_mut(key) {
            health.phase = Phase::Ejected(until);
        }
        self.probe_queue.push_ejected(key, until);
    }

    /// Queues a member for its next probe if one of its probes has just ended.
    fn requeue_probe(&mut self, key: MemberKey) {
        let health = self.member_health.get_mut(key);
        if health.is_some_and(MemberHealth::probe_ended) {
            self.probe_queue.push_ready(key);
        }
    }

    fn ejection_time(&self) -> Duration {
        Duration::from_millis(u64::from(self.policy.ejection_ms))
    }

    fn health_mut(&mut self, key: MemberKey) -> Option<&mut MemberHealth> {
        Some(self.member_health.entry(key)?.or_default())
    }
}

//! Ejection and return.

use std::time::Duration;

use agate_core::{ClassName, Host, Moment};
use agate_members::{MemberKey, Standing, View};
use agate_preset::policy::Routing;
use slotmap::SecondaryMap;

use super::record::{Finding, Phase, Probe, Record};
use super::waiting::Waiting;
use crate::choose::Request;
use crate::per_class::PerClass;
use crate::quantile::QuantileEstimator;

/// How many times a member's usual latency a request must have left to be its probe.
const PROBE_MARGIN: u32 = 2;

/// Finds members that serve badly.
#[derive(Debug)]
pub struct OutlierDetector {
    policy: Routing,
    medians: PerClass<QuantileEstimator>,
    records: SecondaryMap<MemberKey, Record>,
    waiting: Waiting,
}

impl OutlierDetector {
    /// Starts without knowledge of any member.
    pub fn new(policy: Routing) -> Self {
        Self {
            policy,
            medians: PerClass::new(QuantileEstimator::new(50)),
            records: SecondaryMap::new(),
            waiting: Waiting::default(),
        }
    }

    /// Replaces the policy.
    pub const fn set_policy(&mut self, policy: Routing) {
        self.policy = policy;
    }

    /// Takes the latency of a whole answer, from sending to the answer.
    pub fn record_answer(
        &mut self,
        key: MemberKey,
        class: &ClassName,
        latency: Duration,
        view: &mut View,
        now: Moment,
    ) {
        let median = self.medians.get_mut(class);
        let usual = median.get().unwrap_or(latency).as_secs_f64();
        median.add(latency);
        let ratio = latency.as_secs_f64() / usual.max(f64::MIN_POSITIVE) * 100.0;
        let limit = self.policy.outlier_percent;
        let Some(record) = self.open(key) else { return };
        let finding = record.answered(latency, ratio, limit);
        self.act(key, finding, view, now);
    }

    /// The median latency of whole answers to a class, or `None` before the first.
    pub fn median_latency(&self, class: &ClassName) -> Option<Duration> {
        self.medians.get(class).get()
    }

    /// Takes a failure: no answer in time, a broken one, or a lost connection.
    pub fn record_failure(&mut self, key: MemberKey, view: &mut View, now: Moment) {
        let Some(record) = self.open(key) else { return };
        let finding = record.failed();
        self.act(key, finding, view, now);
    }

    /// Takes a refusal, which says nothing about how a member serves.
    pub fn record_refusal(&mut self, key: MemberKey) {
        self.probe_again(key);
    }

    /// The member that `request` should probe, if one is due. Each member has at most one probe
    /// under way; its end must be told by [`Self::record_answer`], [`Self::record_failure`] or
    /// [`Self::record_refusal`].
    pub fn pick_probe(
        &mut self,
        view: &View,
        request: &Request<'_>,
        now: Moment,
    ) -> Option<MemberKey> {
        self.end_ejections(now);
        let key = self.waiting.front()?;
        let Some(member) = view.get(key) else {
            self.waiting.pop_front();
            return None;
        };
        if member.standing() != Standing::Ejected {
            self.put_off(key, now);
            return None;
        }
        let classes = &member.info().classes;
        let serves = classes.is_empty() || classes.contains(request.class);
        let fits = serves && !request.tried.contains(&key) && self.has_time(key, request, now);
        self.waiting.pop_front();
        if fits {
            self.records.get_mut(key)?.probe_sent();
            return Some(key);
        }
        self.waiting.ready(key);
        None
    }

    fn act(&mut self, key: MemberKey, finding: Finding, view: &mut View, now: Moment) {
        let Some(record) = self.records.get(key) else {
            return;
        };
        match (finding, record.phase) {
            (Finding::Bad, Phase::Serving) if self.may_eject(view) => {
                view.eject(key);
                self.eject(key, now);
            }
            (Finding::Bad, Phase::Probing { .. }) => self.eject(key, now),
            (Finding::Recovered, _) => {
                self.records[key].take_back(now);
                view.reinstate(key, now);
            }
            (Finding::Nothing, Phase::Probing { .. }) => self.probe_again(key),
            (Finding::Bad | Finding::Nothing, _) => {}
        }
    }

    fn eject(&mut self, key: MemberKey, now: Moment) {
        let ejection = self.ejection();
        let until = self.records[key].eject(ejection, now);
        self.waiting.eject(key, until);
    }

    /// Whether one more member may be ejected.
    fn may_eject(&self, view: &View) -> bool {
        let ejected = view.ejected();
        let all = view.active(Host::Backend).members + ejected;
        (ejected + 1) * 100 <= all * self.policy.ejected_percent as usize
    }

    fn end_ejections(&mut self, now: Moment) {
        while let Some(key) = self.waiting.pop_over(now) {
            let Some(record) = self.records.get_mut(key) else {
                continue;
            };
            if !matches!(record.phase, Phase::Ejected(_)) {
                continue;
            }
            record.phase = Phase::Probing {
                since: now,
                good: 0,
                probe: Probe::None,
            };
            self.waiting.ready(key);
        }
    }

    /// Whether a request has time for an answer as slow as the member's usual one. If no request
    /// has had for a whole ejection time, any will do.
    fn has_time(&self, key: MemberKey, request: &Request<'_>, now: Moment) -> bool {
        let Some(record) = self.records.get(key) else {
            return true;
        };
        let Phase::Probing { since, .. } = record.phase else {
            return true;
        };
        let latency = record.latency.get().unwrap_or(Duration::ZERO);
        let needed = latency * PROBE_MARGIN;
        request.deadline.remaining(now) >= needed || now.since(since) >= self.ejection()
    }

    /// Lets a member that can't be probed now wait for another ejection time.
    fn put_off(&mut self, key: MemberKey, now: Moment) {
        self.waiting.pop_front();
        let until = now + self.ejection();
        if let Some(record) = self.records.get_mut(key) {
            record.phase = Phase::Ejected(until);
        }
        self.waiting.eject(key, until);
    }

    /// Lets a member wait for its next probe if one of its probes has just ended.
    fn probe_again(&mut self, key: MemberKey) {
        let record = self.records.get_mut(key);
        if record.is_some_and(Record::probe_ended) {
            self.waiting.ready(key);
        }
    }

    fn ejection(&self) -> Duration {
        Duration::from_millis(u64::from(self.policy.ejection_ms))
    }

    fn open(&mut self, key: MemberKey) -> Option<&mut Record> {
        Some(self.records.entry(key)?.or_default())
    }
}

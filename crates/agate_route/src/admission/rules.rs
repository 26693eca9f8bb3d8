//! The rules behind [`AdmissionControl`].

use std::time::Duration;

use agate_core::Moment;
use agate_wire::message::Refusal;
use rand::Rng;

use super::control::{AdmissionControl, Attempt, Door, Phase};
use super::edf::Place;
use super::lane::LaneKey;
use super::{AdmissionDecision, AttemptKey, AttemptOutcome, Dropped, Offer, QueueUpdate, Refused};

impl AdmissionControl {
    /// Takes an attempt or tells why not.
    pub(super) fn admit(
        &mut self,
        offer: &Offer<'_>,
        time: Moment,
    ) -> Result<AdmissionDecision, Refusal> {
        if self.door == Door::Draining {
            return Err(Refusal::Leaving);
        }
        if offer.budget.is_zero() || self.watch.is_stale(time) {
            return Err(Refusal::Late);
        }
        let lane = self.lanes.open(offer.class, offer.share_percent);
        let deadline = time + offer.budget;
        if self.can_start(lane) {
            let phase = Phase::Running { since: time };
            let key = self.attempts.insert(Attempt {
                lane,
                deadline,
                phase,
            });
            self.note_start(lane);
            return Ok(AdmissionDecision::Start(key));
        }
        self.enqueue(lane, deadline, time)
            .map(AdmissionDecision::Queue)
    }

    /// Refuses an attempt and chooses the time to come back.
    pub(super) fn refuse(&mut self, reason: Refusal, time: Moment, rng: &mut impl Rng) -> Refused {
        let each = self.each();
        let drain = each * (self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX));
        let retry_after = self.retry.next(&self.policy, time, drain, each, rng);
        Refused {
            reason,
            retry_after,
        }
    }

    /// Starts what can be started, earliest deadline first, and drops what would be late.
    pub(super) fn next(&mut self, time: Moment, rng: &mut impl Rng) -> QueueUpdate {
        let mut turn = QueueUpdate::default();
        while self.running < self.limits.running() {
            let Some((place, key)) = self.first_startable() else {
                break;
            };
            if self.is_hopeless(key, time) {
                self.unqueue(key);
                let refused = self.refuse(Refusal::Late, time, rng);
                turn.dropped.push(Dropped { key, refused });
                continue;
            }
            self.start(place, key, time);
            turn.start.push(key);
        }
        turn
    }

    /// Removes a waiting attempt; tells whether it was waiting.
    pub(super) fn unqueue(&mut self, key: AttemptKey) -> bool {
        let Some(Attempt {
            lane,
            phase: Phase::Queued(place),
            ..
        }) = self.attempts.get(key).copied()
        else {
            return false;
        };
        self.attempts.remove(key);
        self.queue.remove(place);
        self.lanes.get_mut(lane).queued -= 1;
        true
    }

    /// Whether an attempt can't be answered in time even if it starts now. With nothing running
    /// the expected service time is not trusted, so that a wrong one can be corrected.
    pub(super) fn is_hopeless(&self, key: AttemptKey, time: Moment) -> bool {
        let attempt = &self.attempts[key];
        let service = match self.running {
            0 => Duration::ZERO,
            _ => self.lanes.service(attempt.lane, self.service),
        };
        time >= attempt.deadline || time + service > attempt.deadline
    }

    /// Learns from the service time of an attempt that has ended.
    pub(super) fn learn(
        &mut self,
        lane: LaneKey,
        since: Moment,
        end: AttemptOutcome,
        time: Moment,
    ) {
        if self.watch.froze_since(since) {
            return;
        }
        let took = time.since(since);
        let known = self.lanes.service(lane, self.service);
        let sample = match end {
            AttemptOutcome::Answered => took,
            // A quick failure says nothing about how long an answer takes.
            AttemptOutcome::Failed => took.max(known),
            AttemptOutcome::NotStarted => return,
        };
        self.service.add(sample);
        self.lanes.get_mut(lane).service.add(sample);
    }

    /// Time in which one request is served by all slots together.
    fn each(&self) -> Duration {
        let service = self.service.get().unwrap_or(Duration::ZERO);
        service / self.limits.running().max(1)
    }

    fn can_start(&self, lane: LaneKey) -> bool {
        let limit = self.limits.running();
        self.running < limit && self.lanes.get(lane).has_room(limit)
    }

    fn note_start(&mut self, lane: LaneKey) {
        self.running += 1;
        self.lanes.get_mut(lane).running += 1;
    }

    fn start(&mut self, place: Place, key: AttemptKey, time: Moment) {
        self.queue.remove(place);
        let attempt = &mut self.attempts[key];
        attempt.phase = Phase::Running { since: time };
        let lane = attempt.lane;
        self.lanes.get_mut(lane).queued -= 1;
        self.note_start(lane);
    }

    fn first_startable(&self) -> Option<(Place, AttemptKey)> {
        let startable = |(_, key): &(Place, AttemptKey)| self.can_start(self.attempts[*key].lane);
        self.queue.iter().find(startable)
    }

    fn enqueue(
        &mut self,
        lane: LaneKey,
        deadline: Moment,
        time: Moment,
    ) -> Result<AttemptKey, Refusal> {
        if self.queue.len() >= self.queue_limit() {
            return Err(Refusal::Full);
        }
        let place = self.queue.place(deadline);
        if !self.meets_deadlines(lane, place, time) {
            return Err(Refusal::Late);
        }
        let phase = Phase::Queued(place);
        let key = self.attempts.insert(Attempt {
            lane,
            deadline,
            phase,
        });
        self.queue.insert(place, key);
        self.lanes.get_mut(lane).queued += 1;
        Ok(key)
    }

    fn queue_limit(&self) -> usize {
        let slots = u64::from(self.limits.running());
        let limit = slots * u64::from(self.policy.queue_percent) / 100;
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Whether an attempt at `place` is expected to be answered in time, and whether the waiting
    /// ones behind it still are once it has gone ahead of them.
    fn meets_deadlines(&self, lane: LaneKey, place: Place, time: Moment) -> bool {
        let mut ahead = u32::try_from(self.queue.ahead(place).count()).unwrap_or(u32::MAX);
        let wait = self.wait(ahead).max(self.lane_wait(lane, place));
        if !self.meets(lane, wait, place.deadline, time) {
            return false;
        }
        self.queue.behind(place).all(|key| {
            ahead += 1;
            let attempt = &self.attempts[key];
            self.meets(attempt.lane, self.wait(ahead), attempt.deadline, time)
        })
    }

    /// Whether an attempt that starts after `wait` is expected to be answered in time.
    fn meets(&self, lane: LaneKey, wait: Duration, deadline: Moment, time: Moment) -> bool {
        time + wait + self.lanes.service(lane, self.service) <= deadline
    }

    /// Expected wait for a slot with `ahead` others waiting before.
    fn wait(&self, ahead: u32) -> Duration {
        self.each() * ahead.saturating_add(1)
    }

    /// Expected wait at `place` for the share of a class, if that share is what is short.
    fn lane_wait(&self, key: LaneKey, place: Place) -> Duration {
        let lane = self.lanes.get(key);
        let slots = self.limits.running();
        if lane.has_room(slots) {
            return Duration::ZERO;
        }
        let same = |other: &AttemptKey| self.attempts[*other].lane == key;
        let ahead = self.queue.ahead(place).filter(same).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.lanes.service(key, self.service) / lane.limit(slots) * ahead.saturating_add(1)
    }
}

//! Rules applied by [`AdmissionControl`].

use std::time::Duration;

use agate_core::Moment;
use agate_wire::message::Refusal;
use rand::Rng;

use super::class_state::ClassKey;
use super::control::{AdmissionControl, Attempt, IntakeState, Phase};
use super::edf::QueuePosition;
use super::{AdmissionDecision, AttemptKey, AttemptOutcome, Dropped, Offer, QueueUpdate, Refused};

impl AdmissionControl {
    /// Admits an attempt, or returns why it is refused.
    pub(super) fn admit(
        &mut self,
        offer: &Offer<'_>,
        time: Moment,
    ) -> Result<AdmissionDecision, Refusal> {
        if self.intake == IntakeState::Draining {
            return Err(Refusal::Leaving);
        }
        if offer.budget.is_zero() || self.freeze_detector.is_stale(time) {
            return Err(Refusal::Late);
        }
        let class_key = self.classes.upsert(offer.class, offer.share_percent);
        let deadline = time + offer.budget;
        if self.can_start(class_key) {
            let phase = Phase::Running { since: time };
            let key = self.attempts.insert(Attempt {
                class_key,
                deadline,
                phase,
            });
            self.record_start(class_key);
            return Ok(AdmissionDecision::Start(key));
        }
        self.enqueue(class_key, deadline, time)
            .map(AdmissionDecision::Queue)
    }

    /// Refuses an attempt and computes its retry-after time.
    pub(super) fn refuse(&mut self, reason: Refusal, time: Moment, rng: &mut impl Rng) -> Refused {
        let interval = self.completion_interval();
        let drain_time =
            interval * (self.running + u32::try_from(self.queue.len()).unwrap_or(u32::MAX));
        let retry_after = self
            .retry_after
            .next(&self.policy, time, drain_time, interval, rng);
        Refused {
            reason,
            retry_after,
        }
    }

    /// Starts as many queued attempts as possible, earliest deadline first, and drops those that
    /// would be late.
    pub(super) fn dispatch(&mut self, time: Moment, rng: &mut impl Rng) -> QueueUpdate {
        let mut update = QueueUpdate::default();
        while self.running < self.limits.max_running() {
            let Some((position, key)) = self.first_startable() else {
                break;
            };
            if self.misses_deadline(key, time) {
                self.unqueue(key);
                let refused = self.refuse(Refusal::Late, time, rng);
                update.dropped.push(Dropped { key, refused });
                continue;
            }
            self.start(position, key, time);
            update.start.push(key);
        }
        update
    }

    /// Removes an attempt from the queue. Returns whether it was queued.
    pub(super) fn unqueue(&mut self, key: AttemptKey) -> bool {
        let Some(Attempt {
            class_key,
            phase: Phase::Queued(position),
            ..
        }) = self.attempts.get(key).copied()
        else {
            return false;
        };
        self.attempts.remove(key);
        self.queue.remove(position);
        self.classes.get_mut(class_key).queued -= 1;
        true
    }

    /// Whether an attempt would miss its deadline even if it started now. While nothing runs, the
    /// expected service time is ignored, so that a wrong estimate can correct itself.
    pub(super) fn misses_deadline(&self, key: AttemptKey, time: Moment) -> bool {
        let attempt = &self.attempts[key];
        let service_time = match self.running {
            0 => Duration::ZERO,
            _ => self
                .classes
                .service_time(attempt.class_key, self.service_time),
        };
        time >= attempt.deadline || time + service_time > attempt.deadline
    }

    /// Updates the expected service times with an attempt that has ended.
    pub(super) fn record_service_time(
        &mut self,
        class_key: ClassKey,
        since: Moment,
        outcome: AttemptOutcome,
        time: Moment,
    ) {
        if self.freeze_detector.was_frozen_since(since) {
            return;
        }
        let elapsed = time.since(since);
        let expected = self.classes.service_time(class_key, self.service_time);
        let sample = match outcome {
            AttemptOutcome::Answered => elapsed,
            // A quick failure must not lower the expected service time.
            AttemptOutcome::Failed => elapsed.max(expected),
            AttemptOutcome::NotStarted => return,
        };
        self.service_time.add(sample);
        self.classes.get_mut(class_key).service_time.add(sample);
    }

    /// Returns the mean time between completions with all slots busy.
    fn completion_interval(&self) -> Duration {
        let service_time = self.service_time.get().unwrap_or(Duration::ZERO);
        service_time / self.limits.max_running().max(1)
    }

    fn can_start(&self, class_key: ClassKey) -> bool {
        let limit = self.limits.max_running();
        self.running < limit && self.classes.get(class_key).has_room(limit)
    }

    fn record_start(&mut self, class_key: ClassKey) {
        self.running += 1;
        self.classes.get_mut(class_key).running += 1;
    }

    fn start(&mut self, position: QueuePosition, key: AttemptKey, time: Moment) {
        self.queue.remove(position);
        let attempt = &mut self.attempts[key];
        attempt.phase = Phase::Running { since: time };
        let class_key = attempt.class_key;
        self.classes.get_mut(class_key).queued -= 1;
        self.record_start(class_key);
    }

    fn first_startable(&self) -> Option<(QueuePosition, AttemptKey)> {
        let startable =
            |(_, key): &(QueuePosition, AttemptKey)| self.can_start(self.attempts[*key].class_key);
        self.queue.iter().find(startable)
    }

    fn enqueue(
        &mut self,
        class_key: ClassKey,
        deadline: Moment,
        time: Moment,
    ) -> Result<AttemptKey, Refusal> {
        if self.queue.len() >= self.queue_limit() {
            return Err(Refusal::Full);
        }
        let position = self.queue.next_position(deadline);
        if !self.is_feasible(class_key, position, time) {
            return Err(Refusal::Late);
        }
        let phase = Phase::Queued(position);
        let key = self.attempts.insert(Attempt {
            class_key,
            deadline,
            phase,
        });
        self.queue.insert(position, key);
        self.classes.get_mut(class_key).queued += 1;
        Ok(key)
    }

    fn queue_limit(&self) -> usize {
        let slots = u64::from(self.limits.max_running());
        let limit = slots * u64::from(self.policy.queue_percent) / 100;
        usize::try_from(limit).unwrap_or(usize::MAX)
    }

    /// Whether an attempt at `position` and all queued attempts behind it are expected to meet
    /// their deadlines.
    fn is_feasible(&self, class_key: ClassKey, position: QueuePosition, time: Moment) -> bool {
        let mut ahead = u32::try_from(self.queue.ahead(position).count()).unwrap_or(u32::MAX);
        let wait = self
            .slot_wait(ahead)
            .max(self.share_wait(class_key, position));
        if !self.meets_deadline(class_key, wait, position.deadline, time) {
            return false;
        }
        self.queue.behind(position).all(|key| {
            ahead += 1;
            let attempt = &self.attempts[key];
            self.meets_deadline(
                attempt.class_key,
                self.slot_wait(ahead),
                attempt.deadline,
                time,
            )
        })
    }

    /// Whether an attempt that starts after `wait` is expected to meet its deadline.
    fn meets_deadline(
        &self,
        class_key: ClassKey,
        wait: Duration,
        deadline: Moment,
        time: Moment,
    ) -> bool {
        time + wait + self.classes.service_time(class_key, self.service_time) <= deadline
    }

    /// Returns the expected wait for a slot behind `ahead` queued attempts.
    fn slot_wait(&self, ahead: u32) -> Duration {
        self.completion_interval() * ahead.saturating_add(1)
    }

    /// Returns the expected wait at `position` for the class's share of the slots, or zero if the
    /// share has room.
    fn share_wait(&self, key: ClassKey, position: QueuePosition) -> Duration {
        let state = self.classes.get(key);
        let slots = self.limits.max_running();
        if state.has_room(slots) {
            return Duration::ZERO;
        }
        let same = |other: &AttemptKey| self.attempts[*other].class_key == key;
        let ahead = self.queue.ahead(position).filter(same).count();
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        self.classes.service_time(key, self.service_time) / state.slot_limit(slots)
            * ahead.saturating_add(1)
    }
}

//! Service of attempts at the members.

use std::time::Duration;

use agate_route::admission::{AdmissionDecision, AttemptKey, AttemptOutcome, Offer, QueueUpdate};

use super::super::event::{Event, Outcome};
use super::super::member::clocks;
use super::super::scenario::{DEADLINE, Fault, SLOW_FACTOR, SLOW_MEMBER};
use super::{Attempt, Simulation};

/// Interval of a member's admission ticks.
const ADMISSION_TICK: Duration = Duration::from_millis(100);

/// Service time of a failing backend server.
const FAILURE_TIME: Duration = Duration::from_millis(1);

impl Simulation {
    pub(super) fn receive_attempt(&mut self, attempt: usize) {
        let Attempt { call, member, .. } = self.attempts[attempt];
        if self.is_lost(self.members[member].zone) {
            return;
        }
        let deadline = self.calls[call].arrived + DEADLINE;
        let delay = self.one_way_delay(self.calls[call].entry, member);
        let offer = Offer {
            class: &self.class,
            share_percent: 100,
            budget: self.now.until(deadline).saturating_sub(delay),
        };
        let admission = &mut self.members[member].admission;
        match admission.offer(&offer, clocks(self.now), &mut self.other_rng) {
            AdmissionDecision::Start(key) => {
                self.members[member].accepted.insert(key, attempt);
                self.start_service(member, key);
            }
            AdmissionDecision::Queue(key) => {
                self.members[member].accepted.insert(key, attempt);
            }
            AdmissionDecision::Refuse(_) => self.reply(attempt, Outcome::Refused),
        }
    }

    pub(super) fn start_service(&mut self, member: usize, key: AttemptKey) {
        if self.members[member].start_request() {
            self.stats.overcommit += 1;
        }
        let slow = self.scenario.fault == Fault::SlowMember && member == SLOW_MEMBER;
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let attempt = self.members[member].accepted[&key];
        let call = &self.calls[self.attempts[attempt].call];
        let service = if self.is_failing(member) {
            FAILURE_TIME
        } else {
            call.service.mul_f64(factor)
        };
        self.events
            .push(self.now + service, Event::ServiceEnded { member, key });
    }

    pub(super) fn end_service(&mut self, member: usize, key: AttemptKey) {
        if self.is_lost(self.members[member].zone) {
            return;
        }
        self.members[member].end_request();
        let (end, result) = if self.is_failing(member) {
            (AttemptOutcome::Failed, Outcome::Failed)
        } else {
            (AttemptOutcome::Answered, Outcome::Answered)
        };
        let admission = &mut self.members[member].admission;
        let update = admission.finish(key, end, clocks(self.now), &mut self.other_rng);
        if let Some(attempt) = self.members[member].accepted.remove(&key) {
            self.reply(attempt, result);
        }
        self.apply_queue_update(member, &update);
    }

    pub(super) fn tick_admission(&mut self, member: usize) {
        if self.is_lost(self.members[member].zone) {
            return;
        }
        let admission = &mut self.members[member].admission;
        let update = admission.tick(clocks(self.now), &mut self.other_rng);
        self.apply_queue_update(member, &update);
        self.events
            .push(self.now + ADMISSION_TICK, Event::AdmissionTick { member });
    }

    pub(super) fn apply_queue_update(&mut self, member: usize, update: &QueueUpdate) {
        for key in &update.start {
            self.start_service(member, *key);
        }
        for dropped in &update.dropped {
            if let Some(attempt) = self.members[member].accepted.remove(&dropped.key) {
                self.reply(attempt, Outcome::Refused);
            }
        }
    }
}

//! Work of the members.

use std::time::Duration;

use agate_route::admission::{AdmissionDecision, AttemptKey, AttemptOutcome, Offer, QueueUpdate};

use super::super::event::{Event, Outcome};
use super::super::member::clocks;
use super::super::scenario::{DEADLINE, Fault, SLOW_FACTOR, SLOW_MEMBER};
use super::{Attempt, Simulation};

/// Time between two looks of a member at its queue.
const TICK: Duration = Duration::from_millis(100);

/// Time in which a failing backend server fails.
const FAILURE: Duration = Duration::from_millis(1);

impl Simulation {
    pub(super) fn reach(&mut self, attempt: usize) {
        let Attempt { call, member, .. } = self.attempts[attempt];
        if self.is_lost(self.members[member].zone) {
            return;
        }
        let deadline = self.calls[call].arrived + DEADLINE;
        let delay = self.delay(self.calls[call].entry, member);
        let offer = Offer {
            class: &self.class,
            share_percent: 100,
            budget: self.now.until(deadline).saturating_sub(delay),
        };
        let admission = &mut self.members[member].admission;
        match admission.offer(&offer, clocks(self.now), &mut self.noise) {
            AdmissionDecision::Start(key) => {
                self.members[member].taken.insert(key, attempt);
                self.work(member, key);
            }
            AdmissionDecision::Queue(key) => {
                self.members[member].taken.insert(key, attempt);
            }
            AdmissionDecision::Refuse(_) => self.reply(attempt, Outcome::Refused),
        }
    }

    pub(super) fn work(&mut self, member: usize, key: AttemptKey) {
        if self.members[member].work() {
            self.stats.overcommit += 1;
        }
        let slow = self.scenario.fault == Fault::SlowMember && member == SLOW_MEMBER;
        let factor = if slow { SLOW_FACTOR } else { 1.0 };
        let attempt = self.members[member].taken[&key];
        let call = &self.calls[self.attempts[attempt].call];
        let service = if self.fails(member) {
            FAILURE
        } else {
            call.service.mul_f64(factor)
        };
        self.events
            .push(self.now + service, Event::Served { member, key });
    }

    pub(super) fn served(&mut self, member: usize, key: AttemptKey) {
        if self.is_lost(self.members[member].zone) {
            return;
        }
        self.members[member].rest();
        let (end, result) = if self.fails(member) {
            (AttemptOutcome::Failed, Outcome::Failed)
        } else {
            (AttemptOutcome::Answered, Outcome::Answered)
        };
        let admission = &mut self.members[member].admission;
        let turn = admission.finish(key, end, clocks(self.now), &mut self.noise);
        if let Some(attempt) = self.members[member].taken.remove(&key) {
            self.reply(attempt, result);
        }
        self.follow(member, &turn);
    }

    pub(super) fn tick(&mut self, member: usize) {
        if self.is_lost(self.members[member].zone) {
            return;
        }
        let admission = &mut self.members[member].admission;
        let turn = admission.tick(clocks(self.now), &mut self.noise);
        self.follow(member, &turn);
        self.events.push(self.now + TICK, Event::Tick { member });
    }

    pub(super) fn follow(&mut self, member: usize, turn: &QueueUpdate) {
        for key in &turn.start {
            self.work(member, *key);
        }
        for dropped in &turn.dropped {
            if let Some(attempt) = self.members[member].taken.remove(&dropped.key) {
                self.reply(attempt, Outcome::Refused);
            }
        }
    }
}

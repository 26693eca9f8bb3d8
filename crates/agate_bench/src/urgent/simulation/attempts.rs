//! Attempts in transit to a member and back.

use super::super::event::{Event, Outcome};
use super::super::scenario::{Fault, RetryPolicy, RoutingPolicy};
use super::{Attempt, Simulation};

impl Simulation {
    /// Sends an attempt to its member. If the zone is lost, the attempt is reset or gets no answer.
    pub(super) fn send_to_member(&mut self, attempt: usize) {
        let Attempt { call, member, .. } = self.attempts[attempt];
        let delay = self.one_way_delay(self.calls[call].entry, member);
        if !self.is_lost(self.members[member].zone) {
            self.events
                .push(self.now + delay, Event::AttemptArrived { attempt });
        } else if self.scenario.fault == Fault::ZoneReset {
            let result = Outcome::Lost;
            let reset = Event::ResultArrived {
                attempt,
                result,
                load: None,
            };
            self.events.push(self.now + delay * 2, reset);
        }
    }

    pub(super) fn reply(&mut self, attempt: usize, result: Outcome) {
        let Attempt { call, member, .. } = self.attempts[attempt];
        let load = Some(self.members[member].admission.load());
        let delay = self.one_way_delay(self.calls[call].entry, member);
        let event = Event::ResultArrived {
            attempt,
            result,
            load,
        };
        self.events.push(self.now + delay, event);
    }

    pub(super) fn receive_result(&mut self, attempt: usize, result: Outcome) {
        let Attempt {
            call, key, sent, ..
        } = self.attempts[attempt];
        let entry = &mut self.entries[self.calls[call].entry];
        if !entry.close_attempt(key, attempt, self.now) {
            return;
        }
        if self.strategy.routing == RoutingPolicy::Policy {
            let (detector, view) = (&mut entry.detector, &mut entry.view);
            match result {
                Outcome::Answered => {
                    let latency = self.now.since(sent);
                    detector.record_answer(key, &self.class, latency, view, self.now);
                }
                Outcome::Refused => detector.record_refusal(key),
                Outcome::Failed | Outcome::Lost => detector.record_failure(key, view, self.now),
            }
        }
        if result == Outcome::Lost && self.strategy.retry == RetryPolicy::Budget {
            entry.view.condemn(key);
        }
        self.handle_result(call, result);
    }
}

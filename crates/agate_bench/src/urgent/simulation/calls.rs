//! Calls: arrival, attempts, retries and completion.

use std::time::Duration;

use agate_core::Moment;
use agate_members::MemberKey;
use agate_route::budget::Deadline;
use agate_route::retry::{RetryContext, RetryDecision, decide};
use rand::Rng;

use super::super::event::{Event, Outcome};
use super::super::scenario::{DEADLINE, ENTRIES, MEAN_SERVICE, RetryPolicy, RoutingPolicy, WARMUP};
use super::{Attempt, Call, Simulation};

/// Round-trip time between caller and entry.
const CALLER_ROUND_TRIP: Duration = Duration::from_millis(2);

/// Limit of unlimited retries; keeps the simulation short.
const MAX_ATTEMPTS: u32 = 20;

impl Simulation {
    pub(super) fn receive_request(&mut self) {
        let gap = -(1.0 - self.workload_rng.random::<f64>()).ln() / self.scenario.arrival_rate();
        let next = self.now + Duration::from_secs_f64(gap);
        self.events.push(next, Event::RequestArrived);
        let service = MEAN_SERVICE.mul_f64(self.workload_rng.random_range(0.5..1.5));
        let mut entry = self.workload_rng.random_range(0..ENTRIES);
        if self.is_lost(self.entries[entry].zone) {
            entry = (entry + 1) % ENTRIES;
        }
        self.calls.push(Call {
            entry,
            arrived: self.now,
            service,
            attempts: 0,
            tried: Vec::new(),
            open: true,
        });
        let request = self.calls.len() - 1;
        if self.is_warmed_up() {
            self.stats.requests += 1;
        }
        let budgets = &mut self.entries[entry].budgets;
        budgets.deposit(&self.preset.retries, &self.caller, &self.class, self.now);
        self.events
            .push(self.now + DEADLINE, Event::DeadlineReached { request });
        self.send_attempt(request);
    }

    pub(super) fn send_attempt(&mut self, request: usize) {
        let call = &mut self.calls[request];
        if !call.open {
            return;
        }
        let deadline = call.arrived + DEADLINE;
        let entry = &mut self.entries[call.entry];
        let choice = entry.choose_member(
            self.strategy.routing,
            &self.class,
            deadline,
            &call.tried,
            self.now,
        );
        let Some(key) = choice else {
            self.close_call(request, Outcome::Refused);
            return;
        };
        let attempt = self.attempts.len();
        let port = entry.view.get(key).map_or(0, |m| m.info().address.port());
        let member = usize::from(port);
        call.attempts += 1;
        call.tried.push(key);
        entry.record_sent_attempt(key, attempt, self.now);
        self.attempts.push(Attempt {
            call: request,
            member,
            key,
            sent: self.now,
        });
        if self.calls[request].attempts > 1 && self.is_warmed_up() {
            self.stats.extra += 1;
            self.stats.wasted += 1;
        }
        self.send_to_member(attempt);
    }

    /// Completes a call or schedules a retry.
    pub(super) fn handle_result(&mut self, request: usize, result: Outcome) {
        if !self.calls[request].open {
            return;
        }
        let delay = match result {
            Outcome::Answered => None,
            Outcome::Refused | Outcome::Failed | Outcome::Lost => self.retry_delay(request),
        };
        match delay {
            Some(delay) => self
                .events
                .push(self.now + delay, Event::SendAttempt { request }),
            None => self.close_call(request, result),
        }
    }

    pub(super) fn retry_delay(&mut self, request: usize) -> Option<Duration> {
        let call = &self.calls[request];
        let deadline = call.arrived + DEADLINE;
        if self.strategy.retry == RetryPolicy::Unlimited {
            let may_retry = call.attempts < MAX_ATTEMPTS && self.now < deadline;
            return may_retry.then_some(Duration::ZERO);
        }
        let context = RetryContext {
            caller: &self.caller,
            class: &self.class,
            repeatable: true,
            attempts: call.attempts,
            deadline: Deadline::after(self.now, self.now.until(deadline)),
            expected_latency: MEAN_SERVICE,
        };
        let entry = &mut self.entries[call.entry];
        let (budgets, rng) = (&mut entry.budgets, &mut entry.rng);
        match decide(&self.preset.retries, budgets, &context, self.now, rng) {
            RetryDecision::After(delay) => Some(delay),
            RetryDecision::No(_) => None,
        }
    }

    pub(super) fn close_call(&mut self, request: usize, result: Outcome) {
        let call = &mut self.calls[request];
        call.open = false;
        if call.arrived < Moment::ZERO + WARMUP {
            return;
        }
        match result {
            Outcome::Answered => {
                self.stats
                    .record_answer(self.now.since(call.arrived) + CALLER_ROUND_TRIP);
                if call.attempts > 1 {
                    self.stats.wasted -= 1;
                }
            }
            Outcome::Refused => self.stats.refused += 1,
            Outcome::Failed | Outcome::Lost => self.stats.failed += 1,
        }
    }

    /// Ends an open call at its deadline, with its open attempts.
    pub(super) fn handle_deadline(&mut self, request: usize) {
        if !self.calls[request].open {
            return;
        }
        self.calls[request].open = false;
        let entry = &mut self.entries[self.calls[request].entry];
        let attempts = &self.attempts;
        let of_call = |(_, attempt): &&(MemberKey, usize)| attempts[*attempt].call == request;
        let open: Vec<_> = entry.open.iter().filter(of_call).copied().collect();
        for (key, attempt) in open {
            entry.close_attempt(key, attempt, self.now);
            if self.strategy.routing == RoutingPolicy::Policy {
                entry
                    .detector
                    .record_failure(key, &mut entry.view, self.now);
            }
        }
        if self.calls[request].arrived >= Moment::ZERO + WARMUP {
            self.stats.record_late(DEADLINE + CALLER_ROUND_TRIP);
        }
    }
}

//! The decisions about urgent requests with the state that they need.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{ClassName, Incarnation, Moment};
use agate_members::MemberKey;
use agate_preset::Preset;
use agate_route::budget::Deadline as RouteDeadline;
use agate_route::choose::{Choice, Chooser, RefusalReason, Request};
use agate_route::outlier::OutlierDetector;
use agate_route::retry::{self, HedgeDecision, Hedger, RetryBudgets, RetryContext, RetryDecision};

use super::attempt::Attempt;
use super::call::Call;
use crate::clock::ProcessClock;
use crate::members::{Members, Target};

/// Chooses members and decides on repeats.
#[derive(Debug)]
pub(crate) struct Router {
    clock: ProcessClock,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    chooser: Chooser,
    detector: OutlierDetector,
    budgets: RetryBudgets,
    hedger: Hedger,
}

/// No member can take a request now.
#[derive(Debug, Clone, Copy)]
pub(crate) struct NoTarget {
    pub(crate) reason: RefusalReason,
    /// When it is worth coming back.
    pub(crate) retry: Duration,
}

impl NoTarget {
    /// The chosen member is no longer known.
    const VANISHED: Self = Self {
        reason: RefusalReason::NoMember,
        retry: Duration::ZERO,
    };
}

/// One attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Trip<'a> {
    pub(crate) target: Target,
    pub(crate) attempt: &'a Attempt,
    /// From sending to the end.
    pub(crate) took: Duration,
}

impl State {
    /// Describes `call` to the rules for extra attempts.
    fn attempted<'a>(&self, call: &'a Call, attempts: u32, now: Moment) -> RetryContext<'a> {
        RetryContext {
            caller: &call.caller,
            class: &call.class,
            repeatable: true,
            attempts,
            deadline: RouteDeadline::after(now, call.deadline.left()),
            expected_latency: self
                .detector
                .median_latency(&call.class)
                .unwrap_or_default(),
        }
    }
}

impl Router {
    /// Starts without knowledge.
    pub(crate) fn new(clock: ProcessClock) -> Self {
        let now = clock.now();
        let preset = Preset::default();
        let state = State {
            chooser: Chooser::new(preset.routing, preset.link, now),
            detector: OutlierDetector::new(preset.routing),
            budgets: RetryBudgets::new(now),
            hedger: Hedger::new(&preset.retries),
        };
        Self {
            clock,
            state: Mutex::new(state),
        }
    }

    /// Takes over the policies of a preset.
    pub(crate) fn set_policy(&self, preset: &Preset) {
        let mut state = self.lock();
        state.chooser.set_policy(preset.routing, preset.link);
        state.detector.set_policy(preset.routing);
        state.hedger.set_policy(&preset.retries);
    }

    /// Notes that a request has arrived, which earns a share of an extra attempt.
    pub(crate) fn arrived(&self, call: &Call, preset: &Preset) {
        let now = self.clock.now();
        let mut state = self.lock();
        state
            .budgets
            .deposit(&preset.retries, &call.caller, &call.class, now);
    }

    /// Chooses a member for `call` other than those in `tried`, and counts the request as sent.
    ///
    /// # Errors
    ///
    /// Returns why there is none, and when it is worth coming back.
    pub(crate) fn choose(
        &self,
        members: &Members,
        call: &Call,
        tried: &[MemberKey],
    ) -> Result<Target, NoTarget> {
        let now = self.clock.now();
        let request = Request {
            class: &call.class,
            deadline: RouteDeadline::after(now, call.deadline.left()),
            bytes: call.bytes(),
            tried,
        };
        let state = &mut *self.lock();
        members.with(|view| {
            let mut rng = rand::rng();
            let choice = state
                .chooser
                .choose(&request, view, &mut state.detector, now, &mut rng);
            let key = match choice {
                Choice::Send { key, .. } | Choice::Probe(key) => key,
                Choice::Refuse {
                    reason,
                    retry_after,
                } => {
                    return Err(NoTarget {
                        reason,
                        retry: retry_after,
                    });
                }
            };
            state.chooser.record_sent(key, request.bytes, view, now);
            Target::find(view, key).ok_or(NoTarget::VANISHED)
        })
    }

    /// Chooses a member that a ticket for `class` can name. Nothing is sent there yet.
    ///
    /// # Errors
    ///
    /// Returns why there is none, and when it is worth coming back.
    pub(crate) fn pick(
        &self,
        members: &Members,
        class: &ClassName,
        budget: Duration,
    ) -> Result<Target, NoTarget> {
        let now = self.clock.now();
        let request = Request {
            class,
            deadline: RouteDeadline::after(now, budget),
            bytes: 0,
            tried: &[],
        };
        let state = &mut *self.lock();
        members.with(|view| {
            let mut rng = rand::rng();
            let choice = state
                .chooser
                .choose(&request, view, &mut state.detector, now, &mut rng);
            match choice {
                Choice::Send { key, .. } => Target::find(view, key).ok_or(NoTarget::VANISHED),
                Choice::Probe(key) => {
                    // A ticket says nothing about when it is used, so it is no probe.
                    state.detector.record_refusal(key);
                    Target::find(view, key).ok_or(NoTarget::VANISHED)
                }
                Choice::Refuse {
                    reason,
                    retry_after,
                } => Err(NoTarget {
                    reason,
                    retry: retry_after,
                }),
            }
        })
    }

    /// Learns from the end of an attempt that was sent to a chosen member.
    pub(crate) fn ended(&self, members: &Members, call: &Call, trip: Trip<'_>) {
        let now = self.clock.now();
        let key = trip.target.member;
        let state = &mut *self.lock();
        members.with(|view| {
            let bytes = trip.attempt.bytes();
            state.chooser.record_end(key, bytes, view, now);
            match trip.attempt {
                Attempt::Done(_) => {
                    state.hedger.record_latency(&call.class, trip.took);
                    state
                        .detector
                        .record_answer(key, &call.class, trip.took, view, now);
                }
                Attempt::Refused { .. } | Attempt::NoTime => state.detector.record_refusal(key),
                Attempt::NotSent(_) | Attempt::Failed(_) | Attempt::Lost(_) | Attempt::Late => {
                    state.detector.record_failure(key, view, now);
                }
            }
        });
    }

    /// Whole milliseconds that an agent gets for `call`, or `None` if the way there and back leaves
    /// none.
    pub(crate) fn budget(
        &self,
        members: &Members,
        call: &Call,
        incarnation: Incarnation,
    ) -> Option<u64> {
        let now = self.clock.now();
        let state = self.lock();
        let delay = members.with(|view| {
            let key = view.find(incarnation);
            key.map_or(Duration::ZERO, |key| state.chooser.one_way_delay(key, view))
        });
        RouteDeadline::after(now, call.deadline.left()).hop_budget_ms(now, delay)
    }

    /// Notes that nobody waits any more for the end of an attempt at `target`.
    pub(crate) fn abandoned(&self, members: &Members, target: Target) {
        let now = self.clock.now();
        let state = &mut *self.lock();
        members.with(|view| state.chooser.record_end(target.member, 0, view, now));
        state.detector.record_refusal(target.member);
    }

    /// How long after the first attempt to ask for a hedge, or `None` if there are none.
    pub(crate) fn hedge_wait(&self, call: &Call) -> Option<Duration> {
        self.lock().hedger.hedge_delay(&call.class)
    }

    /// Decides whether `call` gets a second attempt now, after `attempts` of them.
    pub(crate) fn hedge(&self, call: &Call, preset: &Preset, attempts: u32) -> bool {
        let now = self.clock.now();
        let state = &mut *self.lock();
        let request = state.attempted(call, attempts, now);
        let budgets = &mut state.budgets;
        let decision = state.hedger.decide(&preset.retries, budgets, &request, now);
        decision == HedgeDecision::Send
    }

    /// Decides whether `call` gets another attempt after `attempts` of them, the newest of which
    /// did no harm or may be repeated. Returns the pause before it.
    pub(crate) fn retry(&self, call: &Call, preset: &Preset, attempts: u32) -> Option<Duration> {
        let now = self.clock.now();
        let state = &mut *self.lock();
        let request = state.attempted(call, attempts, now);
        let decision = retry::decide(
            &preset.retries,
            &mut state.budgets,
            &request,
            now,
            &mut rand::rng(),
        );
        match decision {
            RetryDecision::After(pause) => Some(pause),
            RetryDecision::No(reason) => {
                log::debug!(event = "retry_refused", reason:%, attempts; "");
                None
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        // What was learned may be incomplete after a panic, but every part of it is whole.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

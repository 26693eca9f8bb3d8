//! Routing and retry decisions for urgent requests.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{ClassName, Incarnation, Moment};
use agate_members::MemberKey;
use agate_preset::Preset;
use agate_route::budget::Deadline as RouteDeadline;
use agate_route::choose::{Choice, Chooser, RefusalReason, Request};
use agate_route::outlier::OutlierDetector;
use agate_route::retry::{self, HedgeDecision, Hedger, RetryBudgets, RetryContext, RetryDecision};

use super::attempt::AttemptOutcome;
use super::call::Call;
use crate::clock::ProcessClock;
use crate::members::{Members, Target};

/// Chooses members and decides on retries and hedges.
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
    /// Delay before a retry is worthwhile.
    pub(crate) retry_after: Duration,
}

impl NoTarget {
    /// The chosen member has left the view.
    const MEMBER_GONE: Self = Self {
        reason: RefusalReason::NoMember,
        retry_after: Duration::ZERO,
    };
}

/// An attempt that has ended.
#[derive(Debug, Clone, Copy)]
pub(crate) struct FinishedAttempt<'a> {
    pub(crate) target: Target,
    pub(crate) attempt: &'a AttemptOutcome,
    /// Time from sending to the end.
    pub(crate) elapsed: Duration,
}

impl State {
    /// Returns the input for the retry and hedge decisions about `call`.
    fn retry_context<'a>(&self, call: &'a Call, attempts: u32, now: Moment) -> RetryContext<'a> {
        RetryContext {
            caller: &call.caller,
            class: &call.class,
            repeatable: true,
            attempts,
            deadline: RouteDeadline::after(now, call.deadline.remaining()),
            expected_latency: self
                .detector
                .median_latency(&call.class)
                .unwrap_or_default(),
        }
    }
}

impl Router {
    /// Creates a router with default policies and no statistics.
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

    /// Applies the policies of a preset.
    pub(crate) fn set_policy(&self, preset: &Preset) {
        let mut state = self.lock();
        state.chooser.set_policy(preset.routing, preset.link);
        state.detector.set_policy(preset.routing);
        state.hedger.set_policy(&preset.retries);
    }

    /// Records the arrival of a request, which deposits a fraction of an attempt in the retry
    /// budget.
    pub(crate) fn record_arrival(&self, call: &Call, preset: &Preset) {
        let now = self.clock.now();
        let mut state = self.lock();
        state
            .budgets
            .deposit(&preset.retries, &call.caller, &call.class, now);
    }

    /// Chooses a member for `call` that is not in `tried`, and counts the request as sent.
    ///
    /// # Errors
    ///
    /// Returns the reason and a retry delay if there is none.
    pub(crate) fn choose(
        &self,
        members: &Members,
        call: &Call,
        tried: &[MemberKey],
    ) -> Result<Target, NoTarget> {
        let now = self.clock.now();
        let request = Request {
            class: &call.class,
            deadline: RouteDeadline::after(now, call.deadline.remaining()),
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
                        retry_after,
                    });
                }
            };
            state.chooser.record_sent(key, request.bytes, view, now);
            Target::find(view, key).ok_or(NoTarget::MEMBER_GONE)
        })
    }

    /// Chooses a member for a ticket of `class`, without counting a request as sent.
    ///
    /// # Errors
    ///
    /// Returns the reason and a retry delay if there is none.
    pub(crate) fn choose_for_ticket(
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
                Choice::Send { key, .. } => Target::find(view, key).ok_or(NoTarget::MEMBER_GONE),
                Choice::Probe(key) => {
                    // The ticket may be used at any time, so it can't serve as a probe.
                    state.detector.record_refusal(key);
                    Target::find(view, key).ok_or(NoTarget::MEMBER_GONE)
                }
                Choice::Refuse {
                    reason,
                    retry_after,
                } => Err(NoTarget {
                    reason,
                    retry_after,
                }),
            }
        })
    }

    /// Updates the statistics with an attempt that has ended.
    pub(crate) fn record_end(&self, members: &Members, call: &Call, finished: FinishedAttempt<'_>) {
        let now = self.clock.now();
        let key = finished.target.member;
        let state = &mut *self.lock();
        members.with(|view| {
            let bytes = finished.attempt.bytes();
            state.chooser.record_end(key, bytes, view, now);
            match finished.attempt {
                AttemptOutcome::Done(_) => {
                    state.hedger.record_latency(&call.class, finished.elapsed);
                    state
                        .detector
                        .record_answer(key, &call.class, finished.elapsed, view, now);
                }
                AttemptOutcome::Refused { .. } | AttemptOutcome::NoTime => {
                    state.detector.record_refusal(key);
                }
                AttemptOutcome::NotSent(_)
                | AttemptOutcome::Failed(_)
                | AttemptOutcome::Lost(_)
                | AttemptOutcome::Late => {
                    state.detector.record_failure(key, view, now);
                }
            }
        });
    }

    /// Returns the agent's time budget for `call` in milliseconds, or `None` if the network round
    /// trip leaves none.
    pub(crate) fn hop_budget_ms(
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
        RouteDeadline::after(now, call.deadline.remaining()).hop_budget_ms(now, delay)
    }

    /// Records that the result of an attempt at `target` is no longer needed.
    pub(crate) fn record_abandoned(&self, members: &Members, target: Target) {
        let now = self.clock.now();
        let state = &mut *self.lock();
        members.with(|view| state.chooser.record_end(target.member, 0, view, now));
        state.detector.record_refusal(target.member);
    }

    /// Returns the delay between the first attempt and a hedge, or `None` for no hedge.
    pub(crate) fn hedge_delay(&self, call: &Call) -> Option<Duration> {
        self.lock().hedger.hedge_delay(&call.class)
    }

    /// Returns whether `call` may send a hedge now, after `attempts` attempts.
    pub(crate) fn should_hedge(&self, call: &Call, preset: &Preset, attempts: u32) -> bool {
        let now = self.clock.now();
        let state = &mut *self.lock();
        let request = state.retry_context(call, attempts, now);
        let budgets = &mut state.budgets;
        let decision = state.hedger.decide(&preset.retries, budgets, &request, now);
        decision == HedgeDecision::Send
    }

    /// Returns the delay before another attempt at `call`, or `None` if there should be none. The
    /// last of the `attempts` so far must not have run, or the request must be repeatable.
    pub(crate) fn retry_delay(
        &self,
        call: &Call,
        preset: &Preset,
        attempts: u32,
    ) -> Option<Duration> {
        let now = self.clock.now();
        let state = &mut *self.lock();
        let request = state.retry_context(call, attempts, now);
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
        // A panic may leave the statistics incomplete, but each part stays consistent.
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! Admission control of one agent.

use std::time::Duration;

use agate_core::{Moment, Resources};
use agate_preset::policy::Admission;
use agate_wire::message::{Load, Refusal};
use rand::Rng;
use slotmap::SlotMap;

use super::class_state::{ClassKey, ClassTable};
use super::clocks::FreezeDetector;
use super::edf::{EdfQueue, QueuePosition};
use super::retry_after::RetryAfter;
use super::{
    AdmissionDecision, AttemptKey, AttemptOutcome, CancelOutcome, Clocks, Dropped, Offer,
    QueueUpdate, StartCheck,
};
use crate::ewma::EwmaDuration;

/// Concurrency limits of the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Maximum number of running requests.
    pub slots: u32,
    /// Maximum number of open connections; each running request holds one.
    pub connections: u32,
}

impl Limits {
    pub(super) const fn max_running(self) -> u32 {
        if self.slots < self.connections {
            self.slots
        } else {
            self.connections
        }
    }
}

/// Whether new attempts are admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum IntakeState {
    Open,
    Draining,
}

/// Phase of an admitted attempt.
#[derive(Debug, Clone, Copy)]
pub(super) enum Phase {
    Queued(QueuePosition),
    Running { since: Moment },
}

/// An admitted attempt.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) class_key: ClassKey,
    pub(super) deadline: Moment,
    pub(super) phase: Phase,
}

/// Admission control of one agent for urgent requests.
#[derive(Debug)]
pub struct AdmissionControl {
    pub(super) limits: Limits,
    pub(super) policy: Admission,
    pub(super) intake: IntakeState,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) classes: ClassTable,
    pub(super) queue: EdfQueue,
    pub(super) running: u32,
    pub(super) service_time: EwmaDuration,
    pub(super) retry_after: RetryAfter,
    pub(super) freeze_detector: FreezeDetector,
}

impl AdmissionControl {
    /// Creates an instance with nothing running or queued.
    pub fn new(limits: Limits, policy: Admission) -> Self {
        Self {
            limits,
            policy,
            intake: IntakeState::Open,
            attempts: SlotMap::with_key(),
            classes: ClassTable::default(),
            queue: EdfQueue::default(),
            running: 0,
            service_time: EwmaDuration::default(),
            retry_after: RetryAfter::default(),
            freeze_detector: FreezeDetector::default(),
        }
    }

    /// Replaces the policy. If the new queue limit is lower, attempts already queued stay.
    pub const fn set_policy(&mut self, policy: Admission) {
        self.policy = policy;
    }

    /// Decides whether to start, queue or refuse an attempt that has just arrived.
    pub fn offer(
        &mut self,
        offer: &Offer<'_>,
        clocks: Clocks,
        rng: &mut impl Rng,
    ) -> AdmissionDecision {
        let time = clocks.time();
        self.freeze_detector.check(time);
        match self.admit(offer, time) {
            Ok(decision) => decision,
            Err(reason) => AdmissionDecision::Refuse(self.refuse(reason, time, rng)),
        }
    }

    /// Checks whether a started attempt may still be sent to the backend server. Call this right
    /// before sending, because the process may have been frozen since the attempt was started.
    pub fn check_start(&mut self, key: AttemptKey, clocks: Clocks) -> StartCheck {
        let time = clocks.time();
        self.freeze_detector.check(time);
        match self.attempts.get(key) {
            Some(attempt) if time < attempt.deadline => StartCheck::Proceed,
            _ => StartCheck::Expired,
        }
    }

    /// Releases the slot and the connection of a started attempt and returns the queue changes.
    pub fn finish(
        &mut self,
        key: AttemptKey,
        outcome: AttemptOutcome,
        clocks: Clocks,
        rng: &mut impl Rng,
    ) -> QueueUpdate {
        let time = clocks.time();
        self.freeze_detector.check(time);
        if let Some(Attempt {
            class_key,
            phase: Phase::Running { since },
            ..
        }) = self.attempts.get(key)
        {
            let (class_key, since) = (*class_key, *since);
            self.attempts.remove(key);
            self.running -= 1;
            self.classes.get_mut(class_key).running -= 1;
            self.record_service_time(class_key, since, outcome, time);
        }
        self.dispatch(time, rng)
    }

    /// Cancels an attempt if it is still queued.
    pub fn cancel(&mut self, key: AttemptKey) -> CancelOutcome {
        match self.attempts.get(key).map(|attempt| attempt.phase) {
            Some(Phase::Queued(_)) => {
                self.unqueue(key);
                CancelOutcome::Removed
            }
            Some(Phase::Running { .. }) => CancelOutcome::Running,
            None => CancelOutcome::Unknown,
        }
    }

    /// Refuses queued attempts that can't meet their deadline any more. Call this at least every
    /// [`MAX_TICK_INTERVAL`](super::MAX_TICK_INTERVAL): a longer gap may be mistaken for a freeze
    /// of the process.
    pub fn tick(&mut self, clocks: Clocks, rng: &mut impl Rng) -> QueueUpdate {
        let time = clocks.time();
        self.freeze_detector.tick(time);
        let late: Vec<AttemptKey> = self
            .queue
            .iter()
            .filter(|(_, key)| self.misses_deadline(*key, time))
            .map(|(_, key)| key)
            .collect();
        let mut update = self.dispatch(time, rng);
        for key in late {
            if self.unqueue(key) {
                let refused = self.refuse(Refusal::Late, time, rng);
                update.dropped.push(Dropped { key, refused });
            }
        }
        update
    }

    /// Returns the time until the next queued attempt has to be refused, if any is queued.
    pub fn next_expiry(&self, clocks: Clocks) -> Option<Duration> {
        let time = clocks.time();
        let left = |(position, key): (QueuePosition, AttemptKey)| {
            let service_time = self
                .classes
                .service_time(self.attempts[key].class_key, self.service_time);
            time.until(position.deadline).saturating_sub(service_time)
        };
        self.queue.iter().map(left).min()
    }

    /// Refuses new attempts from now on. Attempts already admitted are still processed.
    pub const fn drain(&mut self) {
        self.intake = IntakeState::Draining;
    }

    /// Whether no attempt is running or queued.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// Returns the load to report in answers and heartbeats, without the resources held by batch
    /// runs.
    pub fn load(&self) -> Load {
        let service_time = self.service_time.get().unwrap_or(Duration::ZERO);
        Load {
            running: self.running,
            queued: self.queued(),
            service_us: u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX),
            held: Resources::ZERO,
        }
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }
}

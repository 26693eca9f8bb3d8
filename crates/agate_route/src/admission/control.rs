//! The state of one agent's admission.

use std::time::Duration;

use agate_core::{Moment, Resources};
use agate_preset::policy::Admission;
use agate_wire::message::{Load, Refusal};
use rand::Rng;
use slotmap::SlotMap;

use super::clocks::FreezeWatch;
use super::edf::{EdfQueue, Place};
use super::lane::{LaneKey, Lanes};
use super::retry_after::RetryAfter;
use super::{
    AdmissionDecision, AttemptKey, AttemptOutcome, CancelOutcome, Clocks, Dropped, Offer,
    QueueUpdate, StartCheck,
};
use crate::smoothed::Smoothed;

/// What the backend server can carry at once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Requests worked on at once.
    pub slots: u32,
    /// Connections open at once; each running request holds one.
    pub connections: u32,
}

impl Limits {
    pub(super) const fn running(self) -> u32 {
        if self.slots < self.connections {
            self.slots
        } else {
            self.connections
        }
    }
}

/// Whether new attempts are taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Door {
    Open,
    Draining,
}

/// Where a taken attempt stands.
#[derive(Debug, Clone, Copy)]
pub(super) enum Phase {
    Queued(Place),
    Running { since: Moment },
}

/// An attempt that was taken.
#[derive(Debug, Clone, Copy)]
pub(super) struct Attempt {
    pub(super) lane: LaneKey,
    pub(super) deadline: Moment,
    pub(super) phase: Phase,
}

/// Admission of urgent requests by one agent.
#[derive(Debug)]
pub struct AdmissionControl {
    pub(super) limits: Limits,
    pub(super) policy: Admission,
    pub(super) door: Door,
    pub(super) attempts: SlotMap<AttemptKey, Attempt>,
    pub(super) lanes: Lanes,
    pub(super) queue: EdfQueue,
    pub(super) running: u32,
    pub(super) service: Smoothed,
    pub(super) retry: RetryAfter,
    pub(super) watch: FreezeWatch,
}

impl AdmissionControl {
    /// Starts with nothing running or waiting.
    pub fn new(limits: Limits, policy: Admission) -> Self {
        Self {
            limits,
            policy,
            door: Door::Open,
            attempts: SlotMap::with_key(),
            lanes: Lanes::default(),
            queue: EdfQueue::default(),
            running: 0,
            service: Smoothed::default(),
            retry: RetryAfter::default(),
            watch: FreezeWatch::default(),
        }
    }

    /// Replaces the policy. What waits beyond a shorter queue stays.
    pub const fn set_policy(&mut self, policy: Admission) {
        self.policy = policy;
    }

    /// Decides on an attempt that has just arrived.
    pub fn offer(
        &mut self,
        offer: &Offer<'_>,
        clocks: Clocks,
        rng: &mut impl Rng,
    ) -> AdmissionDecision {
        let time = clocks.time();
        self.watch.look(time);
        match self.admit(offer, time) {
            Ok(admit) => admit,
            Err(reason) => AdmissionDecision::Refuse(self.refuse(reason, time, rng)),
        }
    }

    /// Whether a started attempt may be sent to the backend server. Ask right before sending: the
    /// process may have been frozen since the attempt was started.
    pub fn check_start(&mut self, key: AttemptKey, clocks: Clocks) -> StartCheck {
        let time = clocks.time();
        self.watch.look(time);
        match self.attempts.get(key) {
            Some(attempt) if time < attempt.deadline => StartCheck::Proceed,
            _ => StartCheck::Expired,
        }
    }

    /// Frees the slot and the connection of a started attempt, and tells what follows.
    pub fn finish(
        &mut self,
        key: AttemptKey,
        end: AttemptOutcome,
        clocks: Clocks,
        rng: &mut impl Rng,
    ) -> QueueUpdate {
        let time = clocks.time();
        self.watch.look(time);
        if let Some(Attempt {
            lane,
            phase: Phase::Running { since },
            ..
        }) = self.attempts.get(key)
        {
            let (lane, since) = (*lane, *since);
            self.attempts.remove(key);
            self.running -= 1;
            self.lanes.get_mut(lane).running -= 1;
            self.learn(lane, since, end, time);
        }
        self.next(time, rng)
    }

    /// Takes back an attempt if it still waits.
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

    /// Refuses the waiting attempts that have no chance any more. Call it at least every
    /// [`MAX_TICK_INTERVAL`](super::MAX_TICK_INTERVAL): a longer gap is taken for a freeze of the process.
    pub fn tick(&mut self, clocks: Clocks, rng: &mut impl Rng) -> QueueUpdate {
        let time = clocks.time();
        self.watch.tick(time);
        let hopeless: Vec<AttemptKey> = self
            .queue
            .iter()
            .filter(|(_, key)| self.is_hopeless(*key, time))
            .map(|(_, key)| key)
            .collect();
        let mut turn = self.next(time, rng);
        for key in hopeless {
            if self.unqueue(key) {
                let refused = self.refuse(Refusal::Late, time, rng);
                turn.dropped.push(Dropped { key, refused });
            }
        }
        turn
    }

    /// How long until a waiting attempt has to be refused, if any waits.
    pub fn next_expiry(&self, clocks: Clocks) -> Option<Duration> {
        let time = clocks.time();
        let left = |(place, key): (Place, AttemptKey)| {
            let service = self.lanes.service(self.attempts[key].lane, self.service);
            time.until(place.deadline).saturating_sub(service)
        };
        self.queue.iter().map(left).min()
    }

    /// Refuses everything that arrives from now on; what was taken is still worked off.
    pub const fn drain(&mut self) {
        self.door = Door::Draining;
    }

    /// Whether nothing runs or waits.
    pub fn is_idle(&self) -> bool {
        self.attempts.is_empty()
    }

    /// The load to send with answers and heartbeats; the caller adds what batch runs hold.
    pub fn load(&self) -> Load {
        let service = self.service.get().unwrap_or(Duration::ZERO);
        Load {
            running: self.running,
            queued: self.queued(),
            service_us: u64::try_from(service.as_micros()).unwrap_or(u64::MAX),
            held: Resources::ZERO,
        }
    }

    fn queued(&self) -> u32 {
        u32::try_from(self.queue.len()).unwrap_or(u32::MAX)
    }
}

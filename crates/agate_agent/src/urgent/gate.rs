//! Admission of urgent requests before they are sent to the backend server.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::ClassName;
use agate_preset::policy::Admission;
use agate_route::admission::{
    AdmissionControl, AdmissionDecision, AttemptKey, AttemptOutcome, Limits, MAX_TICK_INTERVAL,
    Offer, QueueUpdate, Refused, StartCheck,
};
use agate_wire::message::{Capacity, Load, Refusal};
use tokio::sync::oneshot;

use crate::clock::ProcessClock;
use crate::state::Core;

/// Admission control and the requests that wait for it.
#[derive(Debug, Clone)]
pub(crate) struct AdmissionGate {
    shared: Arc<Mutex<Inner>>,
    clock: ProcessClock,
}

#[derive(Debug)]
struct Inner {
    control: AdmissionControl,
    waiting: HashMap<AttemptKey, oneshot::Sender<Result<Permit, Refused>>>,
}

impl AdmissionGate {
    pub(crate) fn new(capacity: Capacity, clock: ProcessClock) -> Self {
        let limits = Limits {
            slots: capacity.slots,
            connections: capacity.connections,
        };
        let inner = Inner {
            control: AdmissionControl::new(limits, Admission::default()),
            waiting: HashMap::new(),
        };
        Self {
            shared: Arc::new(Mutex::new(inner)),
            clock,
        }
    }

    /// Waits for a slot and a connection. A request that would get them too late is refused.
    pub(crate) async fn acquire(
        &self,
        class: &ClassName,
        share_percent: u32,
        budget: Duration,
    ) -> Result<Permit, Refused> {
        let offer = Offer {
            class,
            share_percent,
            budget,
        };
        let waiting = {
            let mut inner = self.lock();
            match inner
                .control
                .offer(&offer, self.clock.clocks(), &mut rand::rng())
            {
                AdmissionDecision::Start(key) => return Ok(self.new_permit(key)),
                AdmissionDecision::Refuse(refused) => return Err(refused),
                AdmissionDecision::Queue(key) => {
                    let (sender, receiver) = oneshot::channel();
                    inner.waiting.insert(key, sender);
                    receiver
                }
            }
        };
        waiting.await.unwrap_or(Err(Refused {
            reason: Refusal::Leaving,
            retry_after: Duration::ZERO,
        }))
    }

    /// Refuses all new requests from now on.
    pub(crate) fn drain(&self) {
        self.lock().control.drain();
    }

    /// Refuses all queued requests.
    pub(crate) fn refuse_waiting(&self) {
        let waiting: Vec<_> = {
            let mut inner = self.lock();
            let waiting: Vec<_> = inner.waiting.drain().collect();
            for (key, _) in &waiting {
                inner.control.cancel(*key);
            }
            waiting
        };
        drop(waiting);
    }

    /// Replaces the admission policy.
    pub(crate) fn set_policy(&self, policy: Admission) {
        self.lock().control.set_policy(policy);
    }

    /// Returns the current load, without the resources held by batch runs.
    pub(crate) fn load(&self) -> Load {
        self.lock().control.load()
    }

    fn tick(&self) {
        let mut inner = self.lock();
        let update = inner.control.tick(self.clock.clocks(), &mut rand::rng());
        self.apply(inner, update);
    }

    /// Wakes the requests that may start and those that are refused.
    fn apply(&self, mut inner: MutexGuard<'_, Inner>, update: QueueUpdate) {
        let mut wakeups = Vec::new();
        for key in update.start {
            wakeups.push((inner.waiting.remove(&key), Ok(self.new_permit(key))));
        }
        for dropped in update.dropped {
            let sender = inner.waiting.remove(&dropped.key);
            wakeups.push((sender, Err(dropped.refused)));
        }
        // Dropping a permit whose request is gone takes the lock again.
        drop(inner);
        for (sender, result) in wakeups {
            if let Some(sender) = sender {
                // If the request is gone, dropping the permit releases the slot.
                drop(sender.send(result));
            }
        }
    }

    fn new_permit(&self, key: AttemptKey) -> Permit {
        Permit {
            gate: self.clone(),
            key,
            outcome: AttemptOutcome::NotStarted,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot and a connection, released when the permit is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: AdmissionGate,
    key: AttemptKey,
    outcome: AttemptOutcome,
}

impl Permit {
    /// Checks whether the request may still be sent. The process may have been frozen since the
    /// permit was granted, so this is called right before sending.
    pub(crate) fn check_start(&self) -> StartCheck {
        let clocks = self.gate.clock.clocks();
        self.gate.lock().control.check_start(self.key, clocks)
    }

    /// Releases the slot and the connection.
    pub(crate) fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let clocks = self.gate.clock.clocks();
        let mut inner = self.gate.lock();
        let update = inner
            .control
            .finish(self.key, self.outcome, clocks, &mut rand::rng());
        self.gate.apply(inner, update);
    }
}

/// Ticks admission control in a loop, well within its longest allowed interval.
pub(crate) async fn run_admission_ticks(core: Arc<Core>) {
    let mut interval = tokio::time::interval(MAX_TICK_INTERVAL / 5);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.gate.tick();
    }
}

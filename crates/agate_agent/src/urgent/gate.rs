//! The gate that every urgent request passes before it is sent to the backend server.

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

use crate::clock::Time;
use crate::state::Core;

/// Admission control, and those who wait for it.
#[derive(Debug, Clone)]
pub(crate) struct Gate {
    shared: Arc<Mutex<Inner>>,
    time: Time,
}

#[derive(Debug)]
struct Inner {
    control: AdmissionControl,
    waiting: HashMap<AttemptKey, oneshot::Sender<Result<Permit, Refused>>>,
}

impl Gate {
    pub(crate) fn new(capacity: Capacity, time: Time) -> Self {
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
            time,
        }
    }

    /// Waits for a slot and a connection, unless it is clear that they come too late.
    pub(crate) async fn enter(
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
                .offer(&offer, self.time.clocks(), &mut rand::rng())
            {
                AdmissionDecision::Start(key) => return Ok(self.permit(key)),
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

    /// Refuses everything that arrives from now on.
    pub(crate) fn drain(&self) {
        self.lock().control.drain();
    }

    /// Refuses everything that waits.
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

    /// Replaces the policy.
    pub(crate) fn set_policy(&self, policy: Admission) {
        self.lock().control.set_policy(policy);
    }

    /// Load as of now, without what batch runs hold.
    pub(crate) fn load(&self) -> Load {
        self.lock().control.load()
    }

    fn tick(&self) {
        let mut inner = self.lock();
        let turn = inner.control.tick(self.time.clocks(), &mut rand::rng());
        self.act(inner, turn);
    }

    /// Wakes those who may start and those who are refused.
    fn act(&self, mut inner: MutexGuard<'_, Inner>, turn: QueueUpdate) {
        let mut wake = Vec::new();
        for key in turn.start {
            wake.push((inner.waiting.remove(&key), Ok(self.permit(key))));
        }
        for dropped in turn.dropped {
            let sender = inner.waiting.remove(&dropped.key);
            wake.push((sender, Err(dropped.refused)));
        }
        // A permit that nobody waits for any more takes the lock again when it is dropped.
        drop(inner);
        for (sender, result) in wake {
            if let Some(sender) = sender {
                // Whoever waited is gone; dropping the permit gives the slot back.
                drop(sender.send(result));
            }
        }
    }

    fn permit(&self, key: AttemptKey) -> Permit {
        Permit {
            gate: self.clone(),
            key,
            end: AttemptOutcome::NotStarted,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A slot and a connection; both are given back when it is dropped.
#[derive(Debug)]
pub(crate) struct Permit {
    gate: Gate,
    key: AttemptKey,
    end: AttemptOutcome,
}

impl Permit {
    /// Whether the request may be sent now. The process may have been frozen since the permit was
    /// given, so that this is asked right before sending.
    pub(crate) fn check_start(&self) -> StartCheck {
        let clocks = self.gate.time.clocks();
        self.gate.lock().control.check_start(self.key, clocks)
    }

    /// Gives the slot and the connection back.
    pub(crate) fn finish(mut self, end: AttemptOutcome) {
        self.end = end;
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let clocks = self.gate.time.clocks();
        let mut inner = self.gate.lock();
        let turn = inner
            .control
            .finish(self.key, self.end, clocks, &mut rand::rng());
        self.gate.act(inner, turn);
    }
}

/// Ticks the gate at least as often as it asks for, for as long as the agent runs.
pub(crate) async fn keep_ticking(core: Arc<Core>) {
    let mut interval = tokio::time::interval(MAX_TICK_INTERVAL / 5);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        core.gate.tick();
    }
}

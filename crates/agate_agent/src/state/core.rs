//! The state of one agent.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use agate_core::{Host, Incarnation};
use agate_telemetry::spans::Tracer;
use agate_wire::message::{Load, MemberInfo, UrgentSample};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::{Bound, Policy, Samples};
use crate::AgentConfig;
use crate::batch::Reading;
use crate::clock::Time;
use crate::entries::Directory;
use crate::local::{Backend, WorkerClient};
use crate::process::Metrics;
use crate::urgent::{Gate, Slowdown};

/// How far a planned stop has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// New work is taken.
    Serving,
    /// Entries are told to send no more; what still comes is taken.
    Leaving,
    /// Nothing new is taken; what was taken is finished.
    Draining,
    /// What is left is cut off and reported.
    Ending,
}

/// The state of one agent.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) config: AgentConfig,
    /// Where entries reach the agent.
    pub(crate) address: SocketAddr,
    pub(crate) time: Time,
    pub(crate) tracer: Tracer,
    pub(crate) metrics: Metrics,
    pub(crate) policy: Policy,
    pub(crate) gate: Gate,
    pub(crate) backend: Backend,
    pub(crate) worker: WorkerClient,
    pub(crate) entries: Directory,
    /// Requests and runs under way, detached from the connections that asked for them.
    pub(crate) work: TaskTracker,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) slowdown: Slowdown,
    pub(crate) urgent: Samples<UrgentSample>,
    pub(crate) usage: Samples<Reading>,
    bound: RwLock<Arc<Bound>>,
}

impl Core {
    /// Builds the state of an agent that listens on `address`.
    pub(crate) fn new(
        config: AgentConfig,
        address: SocketAddr,
        time: Time,
        tracer: Tracer,
    ) -> Arc<Self> {
        let gate = Gate::new(config.capacity, time.clone());
        Arc::new(Self {
            address: config.advertise.unwrap_or(address),
            gate,
            time,
            tracer,
            metrics: Metrics::new(),
            policy: Policy::new(),
            backend: Backend::new(config.local, config.capacity.connections),
            worker: WorkerClient::new(config.local),
            entries: Directory::new(),
            work: TaskTracker::new(),
            phase: watch::Sender::new(Phase::Serving),
            slowdown: Slowdown::new(),
            urgent: Samples::new(),
            usage: Samples::new(),
            bound: RwLock::new(Arc::new(Bound::new(config.capacity.resources))),
            config,
        })
    }

    /// The incarnation of now and what is bound to it.
    pub(crate) fn bound(&self) -> Arc<Bound> {
        Arc::clone(&self.bound.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// What is bound to `incarnation`, if that is the incarnation of now.
    pub(crate) fn bound_to(&self, incarnation: Incarnation) -> Option<Arc<Bound>> {
        let bound = self.bound();
        (bound.incarnation == incarnation).then_some(bound)
    }

    /// Starts a new incarnation.
    pub(crate) fn rebind(&self) -> Arc<Bound> {
        let fresh = Arc::new(Bound::new(self.config.capacity.resources));
        let mut bound = self.bound.write().unwrap_or_else(PoisonError::into_inner);
        *bound = Arc::clone(&fresh);
        fresh
    }

    /// How far a planned stop has got.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Moves a planned stop on; it never goes back.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|held| {
            let later = phase > *held;
            if later {
                *held = phase;
            }
            later
        });
    }

    /// Waits until a planned stop has got as far as `phase`.
    pub(crate) async fn reached(&self, phase: Phase) {
        let mut receiver = self.phase.subscribe();
        // The sender lives as long as `self`, so that the wait can't fail.
        let _ = receiver.wait_for(|held| *held >= phase).await;
    }

    /// Load as of now.
    pub(crate) fn load(&self) -> Load {
        Load {
            held: self.bound().runs.held(),
            ..self.gate.load()
        }
    }

    /// The agent's announcement.
    pub(crate) fn member(&self) -> MemberInfo {
        MemberInfo {
            incarnation: self.bound().incarnation,
            host: self.config.host,
            address: self.address,
            site: self.config.site.clone(),
            capacity: self.config.capacity,
            classes: self.config.classes.clone(),
        }
    }

    /// Whether the agent runs beside a worker.
    pub(crate) fn is_worker(&self) -> bool {
        self.config.host == Host::Worker
    }
}

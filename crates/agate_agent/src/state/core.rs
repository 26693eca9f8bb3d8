//! The shared state of one agent.

use std::net::SocketAddr;
use std::sync::{Arc, PoisonError, RwLock};

use agate_core::{Host, Incarnation};
use agate_telemetry::spans::Tracer;
use agate_wire::message::{Load, MemberInfo, UrgentSample};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

use super::{Bindings, PolicyStore, SampleBuffer};
use crate::AgentConfig;
use crate::batch::UsageReading;
use crate::clock::ProcessClock;
use crate::entries::Directory;
use crate::local::{Backend, WorkerClient};
use crate::process::Metrics;
use crate::urgent::{AdmissionGate, SlowdownTracker};

/// Phase of the agent, from normal service through a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Phase {
    /// New work is accepted.
    Serving,
    /// Entries are told to send no more work; work that still arrives is accepted.
    Leaving,
    /// New work is refused; accepted work is finished.
    Draining,
    /// Remaining work is aborted and reported.
    Ending,
}

/// The shared state of one agent.
#[derive(Debug)]
pub(crate) struct Core {
    pub(crate) config: AgentConfig,
    /// Address at which entries reach the agent.
    pub(crate) address: SocketAddr,
    pub(crate) clock: ProcessClock,
    pub(crate) tracer: Tracer,
    pub(crate) metrics: Metrics,
    pub(crate) policy: PolicyStore,
    pub(crate) gate: AdmissionGate,
    pub(crate) backend: Backend,
    pub(crate) worker: WorkerClient,
    pub(crate) entries: Directory,
    /// Tasks of requests and runs, independent of the connections that requested them.
    pub(crate) tasks: TaskTracker,
    pub(crate) phase: watch::Sender<Phase>,
    pub(crate) slowdown: SlowdownTracker,
    pub(crate) urgent_samples: SampleBuffer<UrgentSample>,
    pub(crate) usage_samples: SampleBuffer<UsageReading>,
    bindings: RwLock<Arc<Bindings>>,
}

impl Core {
    /// Creates the state of an agent that listens on `address`.
    pub(crate) fn new(
        config: AgentConfig,
        address: SocketAddr,
        clock: ProcessClock,
        tracer: Tracer,
    ) -> Arc<Self> {
        let gate = AdmissionGate::new(config.capacity, clock.clone());
        Arc::new(Self {
            address: config.advertise.unwrap_or(address),
            gate,
            clock,
            tracer,
            metrics: Metrics::new(),
            policy: PolicyStore::new(),
            backend: Backend::new(config.local, config.capacity.connections),
            worker: WorkerClient::new(config.local),
            entries: Directory::new(),
            tasks: TaskTracker::new(),
            phase: watch::Sender::new(Phase::Serving),
            slowdown: SlowdownTracker::new(),
            urgent_samples: SampleBuffer::new(),
            usage_samples: SampleBuffer::new(),
            bindings: RwLock::new(Arc::new(Bindings::new(config.capacity.resources))),
            config,
        })
    }

    /// Returns the current incarnation and the keys and runs bound to it.
    pub(crate) fn bindings(&self) -> Arc<Bindings> {
        Arc::clone(&self.bindings.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Returns the bindings of `incarnation` if it is the current one.
    pub(crate) fn bindings_of(&self, incarnation: Incarnation) -> Option<Arc<Bindings>> {
        let bindings = self.bindings();
        (bindings.incarnation == incarnation).then_some(bindings)
    }

    /// Starts a new incarnation and returns its empty bindings.
    pub(crate) fn start_incarnation(&self) -> Arc<Bindings> {
        let fresh = Arc::new(Bindings::new(self.config.capacity.resources));
        let mut bindings = self
            .bindings
            .write()
            .unwrap_or_else(PoisonError::into_inner);
        *bindings = Arc::clone(&fresh);
        fresh
    }

    /// Returns the current phase.
    pub(crate) fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Advances to `phase`; earlier phases are ignored.
    pub(crate) fn advance(&self, phase: Phase) {
        self.phase.send_if_modified(|current| {
            let is_later = phase > *current;
            if is_later {
                *current = phase;
            }
            is_later
        });
    }

    /// Waits until the agent is in `phase` or a later one.
    pub(crate) async fn wait_for_phase(&self, phase: Phase) {
        let mut receiver = self.phase.subscribe();
        // The sender lives as long as `self`, so the wait can't fail.
        let _ = receiver.wait_for(|current| *current >= phase).await;
    }

    /// Returns the current load.
    pub(crate) fn load(&self) -> Load {
        Load {
            held: self.bindings().runs.held(),
            ..self.gate.load()
        }
    }

    /// Returns the agent's announcement.
    pub(crate) fn member(&self) -> MemberInfo {
        MemberInfo {
            incarnation: self.bindings().incarnation,
            host: self.config.host,
            address: self.address,
            site: self.config.site.clone(),
            capacity: self.config.capacity,
            classes: self.config.classes.clone(),
        }
    }

    /// Returns whether the agent runs beside a worker.
    pub(crate) fn is_worker(&self) -> bool {
        self.config.host == Host::Worker
    }
}

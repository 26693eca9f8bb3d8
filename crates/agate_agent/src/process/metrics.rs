//! Metrics of the agent.

use std::sync::atomic::{AtomicU64, Ordering};

use agate_core::Incarnation;
use agate_telemetry::metrics::text;
use agate_wire::message::Load;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::state::Outcome;

/// Labels for the outcome of an attempt.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
    reason: &'static str,
}

/// Metrics of the agent, and counters for exchange ids and heartbeat sequence numbers.
#[derive(Debug)]
pub(crate) struct Metrics {
    registry: Registry,
    attempts: Family<OutcomeLabels, Counter>,
    running: Gauge,
    queued: Gauge,
    held_millicores: Gauge,
    held_memory_mib: Gauge,
    exchanges: AtomicU64,
    heartbeats: AtomicU64,
}

impl Metrics {
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("agate_agent");
        let attempts = Family::<OutcomeLabels, Counter>::default();
        registry.register(
            "attempts",
            "Attempts at urgent requests by how they ended",
            attempts.clone(),
        );
        let mut gauge = |name, help| {
            let gauge = Gauge::default();
            registry.register(name, help, gauge.clone());
            gauge
        };
        let running = gauge("running", "Urgent requests being worked on");
        let queued = gauge("queued", "Urgent requests waiting");
        let held_millicores = gauge("held_millicores", "Processor time held by batch runs");
        let held_memory_mib = gauge("held_memory_mib", "Memory held by batch runs");
        Self {
            registry,
            attempts,
            running,
            queued,
            held_millicores,
            held_memory_mib,
            exchanges: AtomicU64::new(0),
            heartbeats: AtomicU64::new(0),
        }
    }

    /// Counts an ended attempt.
    pub(crate) fn count_attempt(&self, outcome: &Outcome) {
        let labels = match outcome {
            Outcome::Done(_) => OutcomeLabels {
                outcome: "done",
                reason: "",
            },
            Outcome::Refused { reason, .. } => OutcomeLabels {
                outcome: "refused",
                reason: reason.into(),
            },
            Outcome::Failed(_) => OutcomeLabels {
                outcome: "failed",
                reason: "",
            },
        };
        self.attempts.get_or_create(&labels).inc();
    }

    /// Returns an id for the next exchange with the backend server, unique among all agents.
    pub(crate) fn next_exchange_id(&self, incarnation: Incarnation) -> String {
        let number = self.exchanges.fetch_add(1, Ordering::Relaxed);
        format!("{incarnation}-{number}")
    }

    /// Returns the sequence number of the next heartbeat.
    pub(crate) fn next_heartbeat_sequence(&self) -> u64 {
        self.heartbeats.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Sets the gauges from `load` and returns all metrics in text format.
    pub(crate) fn render(&self, load: &Load) -> Result<String, std::fmt::Error> {
        self.running.set(i64::from(load.running));
        self.queued.set(i64::from(load.queued));
        self.held_millicores.set(i64::from(load.held.millicores));
        self.held_memory_mib.set(i64::from(load.held.memory_mib));
        text(&self.registry)
    }
}

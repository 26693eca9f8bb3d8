//! Metrics of what clients hold.

use agate_intake::Census;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabel {
    cause: String,
}

/// Metrics of the connections of clients.
#[derive(Debug, Default)]
pub struct IntakeMetrics {
    connections: Gauge,
    held_bytes: Gauge,
    closed: Family<CauseLabel, Counter>,
}

impl IntakeMetrics {
    /// Records a census, and logs a line for each cause for which connections were closed.
    pub fn record(&self, census: &Census) {
        self.connections.set(to_gauge(census.connections));
        self.held_bytes.set(to_gauge(census.held));
        for (cause, count) in &census.closed {
            let label = CauseLabel {
                cause: cause.to_string(),
            };
            self.closed.get_or_create(&label).inc_by(*count);
            log::warn!(
                event = "connections_closed", cause:% = cause, count = *count,
                open = census.connections, held_bytes = census.held; ""
            );
        }
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "client_connections",
            "Open connections of clients, peers included",
            self.connections.clone(),
        );
        registry.register(
            "unfinished_bytes",
            "Bytes of requests and responses that aren't complete",
            self.held_bytes.clone(),
        );
        registry.register(
            "connections_closed",
            "Connections that were closed or refused because of a limit",
            self.closed.clone(),
        );
    }
}

fn to_gauge(number: usize) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}

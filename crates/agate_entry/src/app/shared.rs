//! Construction of the state shared by all tasks of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_core::Incarnation;
use agate_intake::Intake;
use agate_log::{HttpSettings, HttpStore, LogStore, Stream};
use agate_telemetry::spans::Tracer;
use agate_wire::message::EntryInfo;

use super::{EntryConfig, StartError};
use crate::batch::Batch;
use crate::clock::ProcessClock;
use crate::entry::{Drain, Entry};
use crate::ledger::Writer;
use crate::members::{Members, Peers};
use crate::metrics::Metrics;
use crate::urgent::{Router, TicketSigner};

/// Service name of exported spans.
const SERVICE: &str = "agate-entry";

/// Builds the shared state of an entry that is reachable at `address`.
pub(super) fn build(config: &EntryConfig, address: SocketAddr) -> Result<Arc<Entry>, StartError> {
    let incarnation = Incarnation::random(&mut rand::rng());
    let me = EntryInfo {
        incarnation,
        address,
        site: config.site.clone(),
    };
    let clock = ProcessClock::start();
    let settings = HttpSettings::builder().address(config.log).build();
    let store: Arc<dyn LogStore> = Arc::new(HttpStore::new(settings));
    let writer = |stream| Writer::new(Arc::clone(&store), stream, config.limits.append_linger);
    let entry = Entry::builder()
        .me(me)
        .clock(clock)
        .limits(config.limits)
        .token(config.token.clone())
        .signer(TicketSigner::new(config.token.clone()))
        .members(Members::new(config.site.clone(), clock))
        .peers(Peers::new(incarnation))
        .router(Router::new(clock))
        .tracer(tracer(config, incarnation)?)
        .metrics(Metrics::new())
        .drain(Drain::new(config.limits.max_inflight))
        .intake(intake(config))
        .writer(writer(Stream::Main))
        .key_writer(writer(Stream::Keys))
        .batch(Batch::new())
        .store(Arc::clone(&store))
        .build();
    Ok(Arc::new(entry))
}

/// Returns the limits of bodies. As many requests as may be open can be received beside them.
fn intake(config: &EntryConfig) -> Intake {
    let limits = agate_intake::Limits::builder()
        .connections(config.limits.max_inflight * 2)
        .bytes(config.limits.max_unfinished);
    Intake::new(limits.build())
}

fn tracer(config: &EntryConfig, incarnation: Incarnation) -> Result<Tracer, StartError> {
    let Some(endpoint) = &config.otlp else {
        return Ok(Tracer::without_export(SERVICE));
    };
    Tracer::exporting(SERVICE, incarnation, endpoint)
        .map_err(|error| StartError::Tracer(error.to_string()))
}

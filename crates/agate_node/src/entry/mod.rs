//! An entry answers callers, follows the log, and schedules while it leads.

mod callers;
mod config;
mod continuity;
mod follow;
mod lead;
mod refusals;
mod shared;
mod writers;
mod zones;

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::{BatchOrder, RouteTable};
use agate_super::{ChildError, Policy, Restart, Supervisor};
use tokio_util::sync::CancellationToken;

pub use callers::{Answer, JobRef, retry_after};
pub use lead::ProcessorShare;
pub use shared::Entry;

use crate::appender::{Appender, Urgency};
use crate::metrics::Metrics;
use crate::store::{KeyedLog, StoredRecord};
use crate::zones::ParseZone;

/// Parses a route table from a record of the configuration stream; returns `None` for other
/// records.
pub type ParseRoutes = fn(&StoredRecord) -> Result<Option<RouteTable>, String>;

/// Dependencies and settings of an entry.
#[derive(Debug, Clone)]
pub struct EntryContext {
    /// Unique name of the entry.
    pub name: String,
    /// The platform's log.
    pub log: Arc<dyn KeyedLog>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Parses route tables.
    pub parse_routes: ParseRoutes,
    /// Parses requests about zones; `None` if the deployment has no withdrawal of zones.
    pub parse_zone: Option<ParseZone>,
    /// Longest lease that workers grant.
    pub max_lease: Duration,
    /// Time for which the final state of a job is kept.
    pub state_retention: Duration,
    /// Share of a processor that this process has, if known.
    pub processor_share: Option<ProcessorShare>,
    /// Order in which jobs of the same priority are served.
    pub batch_order: BatchOrder,
}

/// An entry and the supervisor of its tasks.
#[derive(Debug)]
pub struct BuiltEntry {
    /// The entry.
    pub entry: Arc<Entry>,
    /// Runs the entry's tasks until they are stopped or one of them fails too often.
    pub supervisor: Supervisor,
}

/// Creates an entry and its tasks. It resigns from scheduling when `resign` is cancelled.
pub fn build(context: EntryContext, resign: &CancellationToken) -> BuiltEntry {
    let log = Arc::clone(&context.log);
    let appender = Appender::start(log, Urgency::Interactive, Arc::clone(&context.metrics));
    let entry = Arc::new(Entry::new(context, appender));
    let mut supervisor = Supervisor::new("entry", Policy::default());
    let shared = Arc::clone(&entry);
    supervisor.child("config", Restart::Permanent, move |stop| {
        run_until(stop, config::follow(Arc::clone(&shared)))
    });
    let shared = Arc::clone(&entry);
    supervisor.child("follow", Restart::Permanent, move |stop| {
        run_until(stop, follow::follow(Arc::clone(&shared)))
    });
    let (shared, resign) = (Arc::clone(&entry), resign.clone());
    supervisor.child("lead", Restart::Transient, move |_stop| {
        let (entry, resign) = (Arc::clone(&shared), resign.clone());
        async move {
            lead::run(entry, resign).await;
            Ok(())
        }
    });
    BuiltEntry { entry, supervisor }
}

async fn run_until(
    stop: CancellationToken,
    task: impl Future<Output = ()>,
) -> Result<(), ChildError> {
    stop.run_until_cancelled(task).await;
    Ok(())
}

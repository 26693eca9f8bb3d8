//! An entry: answers callers, follows the log, and schedules while it leads.

mod config;
mod desk;
mod follow;
mod lead;
mod orders;
mod shared;
mod stretch;

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::RouteTable;
use agate_super::{ChildError, Policy, Restart, Supervisor};
use tokio_util::sync::CancellationToken;

pub use desk::{Answer, JobRef, RETRY_AFTER};
pub use shared::Entry;

use crate::appender::{Appender, Urgency};
use crate::metrics::Metrics;
use crate::store::{KeyedLog, StoredRecord};

/// Reads a table of queues from a record of the configuration lane; `None` for other records.
pub type ParseRoutes = fn(&StoredRecord) -> Result<Option<RouteTable>, String>;

/// What an entry is set up with.
#[derive(Debug, Clone)]
pub struct EntryContext {
    /// Name of the entry, unique among all.
    pub name: String,
    /// The platform's log.
    pub log: Arc<dyn KeyedLog>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// Reads tables of queues.
    pub parse_routes: ParseRoutes,
    /// Longest lease that workers grant.
    pub max_lease: Duration,
    /// Time for which a job's final state stays known.
    pub state_retention: Duration,
}

/// An entry and the tree of its tasks.
#[derive(Debug)]
pub struct BuiltEntry {
    /// The entry.
    pub entry: Arc<Entry>,
    /// Runs its tasks until they are stopped or one of them fails too often.
    pub supervisor: Supervisor,
}

/// Makes an entry and its tasks. It stops scheduling when `resign` is cancelled.
pub fn build(context: EntryContext, resign: &CancellationToken) -> BuiltEntry {
    let log = Arc::clone(&context.log);
    let appender = Appender::start(log, Urgency::Interactive, Arc::clone(&context.metrics));
    let entry = Arc::new(Entry::new(context, appender));
    let mut supervisor = Supervisor::new("entry", Policy::default());
    let shared = Arc::clone(&entry);
    supervisor.child("config", Restart::Permanent, move |stop| {
        until(stop, config::follow(Arc::clone(&shared)))
    });
    let shared = Arc::clone(&entry);
    supervisor.child("follow", Restart::Permanent, move |stop| {
        until(stop, follow::follow(Arc::clone(&shared)))
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

async fn until(stop: CancellationToken, task: impl Future<Output = ()>) -> Result<(), ChildError> {
    stop.run_until_cancelled(task).await;
    Ok(())
}

//! Time of the last contact with each worker's agent.

use std::collections::HashMap;

use agate_core::Moment;

use crate::record::EndCause;
use crate::table::{Change, JobTable};

/// Time at which an entry read the newest record of each worker's agent. Every entry keeps it, so
/// that a new leader doesn't restart the timeout of a silent agent.
#[derive(Debug, Clone, Default)]
pub struct LastContact(HashMap<String, Moment>);

impl LastContact {
    /// Creates an entry for each worker of a table that was loaded at `now`, with that time.
    pub fn from_table(table: &JobTable, now: Moment) -> Self {
        let names = table
            .workers()
            .map(|report| report.incarnation.name.clone());
        Self(names.map(|name| (name, now)).collect())
    }

    /// Applies the change of a record that was read at `now`.
    pub fn apply(&mut self, change: &Change, now: Moment) {
        let worker = match change {
            Change::Worker(name) => name,
            Change::Ended(end) if end.cause != EndCause::Lost => &end.worker,
            _ => return,
        };
        self.0.insert(worker.clone(), now);
    }

    /// Returns the time of the last contact with the agent of `worker`, or `default` if unknown.
    pub fn get_or(&self, worker: &str, default: Moment) -> Moment {
        self.0.get(worker).copied().unwrap_or(default)
    }

    /// Removes workers that are not in `table`.
    pub fn prune(&mut self, table: &JobTable) {
        self.0.retain(|worker, _| table.worker(worker).is_some());
    }
}

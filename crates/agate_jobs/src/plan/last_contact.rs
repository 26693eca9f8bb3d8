//! When the agents of workers were last heard of.

use std::collections::HashMap;

use agate_core::Moment;

use crate::record::EndCause;
use crate::table::{Change, JobTable};

/// When an entry read the newest record of each worker's agent. Kept by every entry, so that one
/// that takes over scheduling need not wait for silence anew.
#[derive(Debug, Clone, Default)]
pub struct LastContact(HashMap<String, Moment>);

impl LastContact {
    /// The workers of a book that was loaded at `now`, each as if heard of then.
    pub fn from_table(table: &JobTable, now: Moment) -> Self {
        let names = table
            .workers()
            .map(|report| report.incarnation.name.clone());
        Self(names.map(|name| (name, now)).collect())
    }

    /// Takes what a record that was read at `now` changed.
    pub fn apply(&mut self, change: &Change, now: Moment) {
        let worker = match change {
            Change::Worker(name) => name,
            Change::Ended(end) if end.cause != EndCause::Lost => &end.worker,
            _ => return,
        };
        self.0.insert(worker.clone(), now);
    }

    /// When the agent of `worker` was last heard of; `otherwise` if that is not known.
    pub fn get_or(&self, worker: &str, otherwise: Moment) -> Moment {
        self.0.get(worker).copied().unwrap_or(otherwise)
    }

    /// Forgets workers that are not in `book`.
    pub fn prune(&mut self, table: &JobTable) {
        self.0.retain(|worker, _| table.worker(worker).is_some());
    }
}

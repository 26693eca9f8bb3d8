//! The runs of one incarnation and their details.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_bind::RunTable;
use agate_core::{ClassName, Position, Resources, RunId, Tag};
use agate_wire::message::{RunStatus, StartReply};
use tokio::sync::{Notify, watch};

use crate::batch::status;

/// Maximum number of runs in the table.
const MAX_RUNS: usize = 50_000;

/// Details of a run whose end is not recorded yet.
#[derive(Debug, Clone)]
pub(crate) struct RunDetails {
    pub(crate) class: ClassName,
    pub(crate) tags: Vec<Tag>,
    pub(crate) bound_at: Position,
    pub(crate) peak: Resources,
    /// Reply to the request that started it, once there is one.
    pub(crate) start_reply: watch::Receiver<Option<StartReply>>,
}

/// The runs of one incarnation.
#[derive(Debug)]
pub(crate) struct Runs {
    inner: Mutex<RunsInner>,
    /// Notified when runs must be checked: after a new step, a lease renewal or the loss of the
    /// incarnation.
    pub(crate) changed: Notify,
}

/// The part of [`Runs`] behind its lock.
#[derive(Debug)]
pub(crate) struct RunsInner {
    pub(crate) table: RunTable,
    pub(crate) details: BTreeMap<RunId, RunDetails>,
    /// Runs reported as ended that an unreachable worker may still hold, paused.
    pub(crate) abandoned: BTreeSet<RunId>,
}

impl Runs {
    pub(crate) fn new(capacity: Resources) -> Self {
        Self {
            inner: Mutex::new(RunsInner {
                table: RunTable::new(capacity, MAX_RUNS),
                details: BTreeMap::new(),
                abandoned: BTreeSet::new(),
            }),
            changed: Notify::new(),
        }
    }

    pub(crate) fn lock(&self) -> MutexGuard<'_, RunsInner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the runs whose end isn't recorded yet, with the step in force for each. Of an agent that
    /// leaves, an entry takes any other run for one that never starts.
    pub(crate) fn statuses(&self) -> Vec<RunStatus> {
        let inner = self.lock();
        let open = inner.table.open().into_iter();
        open.filter_map(|run| {
            let state = inner.table.state(run)?;
            Some(RunStatus {
                run,
                step: status::active_step(state),
            })
        })
        .collect()
    }

    /// Renews the lease for `length` from the moment at which the heartbeat was sent.
    pub(crate) fn renew_lease(&self, sent_at: agate_core::Moment, length: Duration) {
        self.lock().table.renew(sent_at, length);
        self.changed.notify_waiters();
    }

    /// Returns the resources held by runs.
    pub(crate) fn held(&self) -> Resources {
        self.lock().table.held()
    }
}

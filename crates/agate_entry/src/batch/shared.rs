//! The scheduler and its state, shared by all tasks of this entry.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};

use agate_core::{Incarnation, JobId, RunId};
use agate_place::{Policy, Scheduler};
use agate_preset::Preset;
use tokio::sync::{Notify, mpsc};

use super::LeaseBound;
use super::dispatch::Order;

/// The scheduler behind a lock that is never held across an await. To lock the folded state as
/// well, lock it first.
#[derive(Debug)]
pub(crate) struct Batch {
    inner: Mutex<Inner>,
    /// Wakes the placement task.
    wake: Notify,
    order_tx: mpsc::UnboundedSender<Order>,
    /// Orders that are queued or in flight. Each is queued at most once, which bounds the queue by
    /// the number of bound runs.
    open_orders: Mutex<HashSet<Order>>,
    /// Receives orders; kept here so that it survives a restart of the dispatch task.
    pub(super) order_rx: tokio::sync::Mutex<mpsc::UnboundedReceiver<Order>>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) scheduler: Scheduler,
    /// Jobs whose tasks are in this entry's queue.
    pub(crate) queued: HashSet<JobId>,
    /// Bound on leases that may be held; `None` until the log has been read.
    pub(crate) leases: Option<LeaseBound>,
    /// Incarnations known to have been replaced.
    pub(crate) replaced: HashSet<Incarnation>,
    /// Agents that leave, and the runs that they have listed since. Such an agent starts no other run, and
    /// the end of any other run that it had started is recorded.
    pub(crate) leaving: HashMap<Incarnation, HashSet<RunId>>,
}

impl Inner {
    /// Returns whether a run that is bound to an agent is certain not to be started by it.
    pub(super) fn is_unstartable(&self, run: RunId, agent: Incarnation) -> bool {
        let listed = self.leaving.get(&agent);
        listed.is_some_and(|listed| !listed.contains(&run))
    }
}

impl Batch {
    /// Creates a scheduler without jobs or workers.
    pub(crate) fn new() -> Self {
        let (order_tx, order_rx) = mpsc::unbounded_channel();
        let inner = Inner {
            scheduler: Scheduler::new(Policy::from(&Preset::default())),
            queued: HashSet::new(),
            leases: None,
            replaced: HashSet::new(),
            leaving: HashMap::new(),
        };
        Self {
            inner: Mutex::new(inner),
            wake: Notify::new(),
            order_tx,
            open_orders: Mutex::default(),
            order_rx: tokio::sync::Mutex::new(order_rx),
        }
    }

    /// Runs `work` on the scheduler and wakes the placement task.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        let result = work(&mut self.lock());
        self.wake.notify_one();
        result
    }

    /// Runs `work` on the scheduler without waking the placement task.
    pub(crate) fn without_wake<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.lock())
    }

    /// Waits for a change.
    pub(crate) async fn changed(&self) {
        self.wake.notified().await;
    }

    /// Queues an order unless the same one is already queued or in flight.
    pub(crate) fn enqueue_order(&self, order: Order) {
        if self.lock_orders().insert(order) {
            // The send can't fail: the receiver is a field of this struct.
            let _ = self.order_tx.send(order);
        }
    }

    /// Marks an order as executed or lost, so that it can be queued again.
    pub(super) fn complete_order(&self, order: Order) {
        self.lock_orders().remove(&order);
    }

    fn lock_orders(&self) -> MutexGuard<'_, HashSet<Order>> {
        // Each operation leaves the set consistent, so it stays usable after a panic.
        self.open_orders
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic may leave the scheduler's state incomplete, but the log still decides every
        // binding.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

//! The scheduler and what goes with it, shared by every task of this entry.

use std::collections::HashSet;
use std::sync::{Mutex, MutexGuard, PoisonError};

use agate_core::{Incarnation, JobId};
use agate_place::{Policy, Scheduler};
use agate_preset::Preset;
use tokio::sync::{Notify, mpsc};

use super::LeaseBound;
use super::dispatch::Order;

/// The scheduler behind a lock that is never held across an await. Where the folded state is
/// needed as well, its lock is taken first.
#[derive(Debug)]
pub(crate) struct Batch {
    inner: Mutex<Inner>,
    /// Wakes the task that places.
    wake: Notify,
    orders: mpsc::UnboundedSender<Order>,
    /// Orders that have not been carried out. Each stands in the queue once, which bounds it by the
    /// number of bound runs.
    open: Mutex<HashSet<Order>>,
    /// Where the dispatching task takes orders from; kept here so that it survives a restart.
    pub(super) inbox: tokio::sync::Mutex<mpsc::UnboundedReceiver<Order>>,
}

#[derive(Debug)]
pub(crate) struct Inner {
    pub(crate) scheduler: Scheduler,
    /// Jobs whose tasks wait in this entry's queue.
    pub(crate) queued: HashSet<JobId>,
    /// Leases that may be held; none before the log has been read.
    pub(crate) leases: Option<LeaseBound>,
    /// Incarnations that are known to have been replaced.
    pub(crate) replaced: HashSet<Incarnation>,
}

impl Batch {
    /// Starts without jobs and workers.
    pub(crate) fn new() -> Self {
        let (orders, inbox) = mpsc::unbounded_channel();
        let inner = Inner {
            scheduler: Scheduler::new(Policy::from(&Preset::default())),
            queued: HashSet::new(),
            leases: None,
            replaced: HashSet::new(),
        };
        Self {
            inner: Mutex::new(inner),
            wake: Notify::new(),
            orders,
            open: Mutex::default(),
            inbox: tokio::sync::Mutex::new(inbox),
        }
    }

    /// Runs `work` on the scheduler and wakes the task that places.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        let result = work(&mut self.lock());
        self.wake.notify_one();
        result
    }

    /// Runs `work` on the scheduler without waking anyone.
    pub(crate) fn quietly<T>(&self, work: impl FnOnce(&mut Inner) -> T) -> T {
        work(&mut self.lock())
    }

    /// Waits until something has changed.
    pub(crate) async fn changed(&self) {
        self.wake.notified().await;
    }

    /// Hands over an order to an agent, unless the same one waits or is under way.
    pub(crate) fn order(&self, order: Order) {
        if self.open_orders().insert(order) {
            // The receiver is kept in this very struct, so it is never gone.
            let _ = self.orders.send(order);
        }
    }

    /// Notes that an order was carried out or lost; it can be given again.
    pub(super) fn close(&self, order: Order) {
        self.open_orders().remove(&order);
    }

    fn open_orders(&self) -> MutexGuard<'_, HashSet<Order>> {
        // The set is whole between any two of its calls, so a panic elsewhere leaves it usable.
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // What the scheduler holds may be incomplete after a panic; every binding is still decided
        // by the log.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

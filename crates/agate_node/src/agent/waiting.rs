//! Orders that are not executed yet, and why.

use std::collections::HashMap;
use std::time::Duration;

use agate_jobs::{Order, TaskKey, WorkerIncarnation};
use tokio::time::Instant;

use super::zones::PREDECESSOR_START_WAIT;

/// Wait after which an order is logged.
const OVERDUE_AFTER: Duration = Duration::from_secs(1);

/// Time between two log lines about waiting orders.
const LOG_PERIOD: Duration = Duration::from_secs(1);

/// Wait after which an order of an earlier term is settled by the agent. The leader that raises a
/// term drops such orders itself, normally within a second.
const SETTLE_AFTER: Duration = Duration::from_secs(3);

/// Wait for the withdrawn zones after which an order is returned. The lease is renewed meanwhile, so
/// nothing else would end the wait. No start of a predecessor can be carried out so late after this agent
/// has started.
const RETURN_AFTER: Duration = Duration::from_secs(3);

const _: () = assert!(RETURN_AFTER.as_millis() > PREDECESSOR_START_WAIT.as_millis());

/// Why an order is not executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub(super) enum WaitReason {
    /// The worker has not listed its runs since this agent started.
    NoList,
    /// The worker has restarted under its name, and the new incarnation has not sent a heartbeat yet.
    WorkerRestarted,
    /// The worker doesn't answer. Nobody could tell whether a start sent now has crashed it.
    Unreachable,
    /// The worker has answered nothing for longer than a lease renewal takes. A start would give it another
    /// lease just as it may be declared lapsed.
    Silent,
    /// The order is for another incarnation of the worker.
    OtherIncarnation,
    /// The order is for an earlier term of this incarnation.
    EarlierTerm,
    /// The lease may not be renewed: the worker is suspected or lapsed, or the orders have not been
    /// read to their end.
    NoLease,
    /// The lease ends too soon for a start.
    ShortLease,
    /// The agent stops before it can be sure that no start of its predecessor is carried out any more.
    AgentStops,
    /// The withdrawn zones have not been loaded since this agent started.
    ZonesNotLoaded,
    /// The withdrawn zones have not been loaded recently enough.
    ZonesStale,
    /// The zone is withdrawn, but a start that was sent before this agent started may still be
    /// carried out.
    EarlierStart,
}

impl WaitReason {
    /// Returns why an order can't be meant for the current term, or `None` if it is.
    pub fn of_term(order: &Order, current: &WorkerIncarnation) -> Option<Self> {
        if order.incarnation == *current {
            return None;
        }
        let same_incarnation = order.incarnation.started_ms == current.started_ms;
        if same_incarnation && order.incarnation.term < current.term {
            return Some(Self::EarlierTerm);
        }
        Some(Self::OtherIncarnation)
    }
}

/// An order that waits.
#[derive(Debug, Clone, Copy)]
pub(super) struct WaitingOrder {
    pub task: TaskKey,
    pub run: u32,
    pub reason: WaitReason,
    since: Instant,
    overdue: bool,
}

impl WaitingOrder {
    /// Returns the time for which the order has waited.
    pub fn age(&self) -> Duration {
        self.since.elapsed()
    }

    /// Returns whether the order is to be returned, so that its task can be started elsewhere.
    pub fn is_returnable(&self) -> bool {
        let for_zones = matches!(
            self.reason,
            WaitReason::ZonesNotLoaded | WaitReason::ZonesStale
        );
        for_zones && self.age() >= RETURN_AFTER
    }

    /// Returns whether the agent has to settle the order because its leader doesn't.
    pub fn is_abandoned(&self) -> bool {
        self.reason == WaitReason::EarlierTerm && self.age() >= SETTLE_AFTER
    }
}

/// The orders of a worker that wait to be executed.
#[derive(Debug, Default)]
pub(super) struct WaitingOrders {
    orders: HashMap<TaskKey, WaitingOrder>,
    logged_at: Option<Instant>,
}

impl WaitingOrders {
    /// Replaces the waiting orders, keeping the times since which known ones have waited. Returns
    /// the number of those that have just become overdue.
    pub fn update(&mut self, waiting: Vec<(TaskKey, u32, WaitReason)>) -> u64 {
        let mut known = std::mem::take(&mut self.orders);
        let mut overdue = 0;
        for (task, run, reason) in waiting {
            let same = known.remove(&task).filter(|order| order.run == run);
            let mut order = same.unwrap_or(WaitingOrder {
                task,
                run,
                reason,
                since: Instant::now(),
                overdue: false,
            });
            order.reason = reason;
            if !order.overdue && order.age() >= OVERDUE_AFTER {
                order.overdue = true;
                overdue += 1;
            }
            self.orders.insert(task, order);
        }
        overdue
    }

    /// Returns the orders that are to be returned.
    pub fn returnable(&self) -> Vec<WaitingOrder> {
        let orders = self.orders.values().copied();
        orders.filter(WaitingOrder::is_returnable).collect()
    }

    /// Returns the orders that the agent has to settle.
    pub fn abandoned(&self) -> Vec<(TaskKey, u32)> {
        let orders = self.orders.values();
        orders
            .filter(|order| order.is_abandoned())
            .map(|order| (order.task, order.run))
            .collect()
    }

    /// Returns the overdue order that has waited longest and the number of overdue ones, at most
    /// once in [`LOG_PERIOD`].
    pub fn due_for_log(&mut self) -> Option<(WaitingOrder, usize)> {
        if self.logged_at.is_some_and(|at| at.elapsed() < LOG_PERIOD) {
            return None;
        }
        let overdue = self.orders.values().filter(|order| order.overdue);
        let count = overdue.clone().count();
        let oldest = overdue.min_by_key(|order| order.since).copied()?;
        self.logged_at = Some(Instant::now());
        Some((oldest, count))
    }
}

//! Which ready tasks have room, derived from the records alone.

use std::collections::BTreeSet;

use agate_core::JobId;
use agate_core::Resources;
use agate_jobs::table::Job;
use agate_jobs::{Order, OrderKind, StepSpec, TaskKey, WorkerReport};

use super::cluster::{Cluster, is_sibling};

/// What the orders leave of a worker.
struct Room {
    worker: WorkerReport,
    orders: Vec<Order>,
    /// Free resources beside all orders.
    free: Resources,
}

/// Returns the ready tasks that are not bound although there is room for them twice over and under half
/// of the processors are in use.
pub(crate) fn passed_over(cluster: &Cluster) -> BTreeSet<TaskKey> {
    let rooms = rooms(cluster);
    let total: u32 = rooms
        .iter()
        .map(|room| room.worker.capacity.millicores)
        .sum();
    let used: u32 = rooms
        .iter()
        .flat_map(|room| &room.orders)
        .map(|order| demand(order).millicores)
        .sum();
    if used * 2 >= total {
        return BTreeSet::new();
    }
    let bound: BTreeSet<TaskKey> = cluster.orders().map(|order| order.task).collect();
    let open = cluster.fleet.table.jobs();
    let open = open.filter(|(_, job)| !job.state().is_final());
    open.flat_map(|(id, job)| ready_tasks(id, job, cluster.wall_ms(), &bound))
        .filter(|(task, step)| {
            let needed = if step.gang { step.tasks } else { 1 };
            let fitting: u32 = rooms.iter().map(|room| room.fitting(*task, step)).sum();
            fitting >= 2 * needed
        })
        .map(|(task, _)| task)
        .collect()
}

/// Returns the orders that no worker can carry out any more.
pub(crate) fn dead_orders(cluster: &Cluster) -> BTreeSet<TaskKey> {
    let dead = cluster.orders().filter(|order| !cluster.is_current(order));
    dead.map(|order| order.task).collect()
}

fn rooms(cluster: &Cluster) -> Vec<Room> {
    let workers = cluster.workers().into_iter();
    workers
        .map(|worker| {
            let name = &worker.incarnation.name;
            let orders = cluster.orders();
            let orders = orders.filter(|order| order.incarnation.name == *name);
            let orders: Vec<Order> = orders.cloned().collect();
            let used = orders.iter().map(demand);
            let used = used.fold(Resources::ZERO, |sum, demand| sum + demand);
            Room {
                free: worker.capacity.saturating_sub(used),
                worker,
                orders,
            }
        })
        .collect()
}

const fn demand(order: &Order) -> Resources {
    match order.kind {
        OrderKind::Start { demand, .. } | OrderKind::Stop { demand, .. } => demand,
    }
}

impl Room {
    /// Returns how many more tasks of a step have room.
    fn fitting(&self, task: TaskKey, step: &StepSpec) -> u32 {
        if !step.label.is_empty() && !self.worker.labels.contains(&step.label) {
            return 0;
        }
        let by_processor = self.free.millicores / step.demand.millicores;
        let by_memory = self.free.memory_mib / step.demand.memory_mib;
        let fitting = by_processor.min(by_memory);
        if step.per_worker == 0 {
            return fitting;
        }
        let siblings = self.orders.iter();
        let siblings = siblings.filter(|order| is_sibling(order.task, task));
        let siblings = u32::try_from(siblings.count()).expect("few tasks");
        fitting.min(step.per_worker.saturating_sub(siblings))
    }
}

fn ready_tasks<'a>(
    id: JobId,
    job: &'a Job,
    wall_ms: u64,
    bound: &BTreeSet<TaskKey>,
) -> Vec<(TaskKey, &'a StepSpec)> {
    let mut ready = Vec::new();
    for (occurrence, steps) in (0..).zip(&job.progress) {
        if job.spec.due_ms(occurrence) > wall_ms {
            continue;
        }
        let is_done = |step: u32| steps[step as usize].tasks.iter().all(|task| task.done);
        for (step, spec) in (0..).zip(&job.spec.steps) {
            if !spec.after.iter().copied().all(is_done) {
                continue;
            }
            let key = |index| TaskKey {
                job: id,
                occurrence,
                step,
                index,
            };
            if spec.gang && (0..spec.tasks).any(|index| bound.contains(&key(index))) {
                continue;
            }
            let tasks = (0..).zip(&steps[step as usize].tasks);
            let waiting = tasks.filter(|(index, task)| !task.done && !bound.contains(&key(*index)));
            ready.extend(waiting.map(|(index, _)| (key(index), spec)));
        }
    }
    ready
}

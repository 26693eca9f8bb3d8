//! Baseline: first fit by declared sizes in order of arrival, without a model of interference.

use std::collections::{HashMap, VecDeque};

use agate_core::{Incarnation, Resources, TaskId};
use agate_place::{JobSpec, Placement};

/// Factor applied to the memory of a task that was killed for exceeding it.
const MEMORY_GROWTH: u32 = 2;

/// Tasks at the front of the queue that are tried for placement.
const BACKFILL_TASKS: usize = 64;

/// Places each task on the first worker with enough free resources.
#[derive(Debug)]
pub(super) struct FirstFit {
    queue: VecDeque<(TaskId, Resources)>,
    /// Free resources of each worker.
    available: Vec<Resources>,
    limit: Resources,
    running: HashMap<TaskId, (usize, Resources)>,
}

impl FirstFit {
    pub(super) fn new(workers: u64, limit: Resources) -> Self {
        Self {
            queue: VecDeque::new(),
            available: (0..workers).map(|_| limit).collect(),
            limit,
            running: HashMap::new(),
        }
    }

    pub(super) fn push(&mut self, spec: &JobSpec) {
        for index in spec.tasks.iter().cloned().flatten() {
            let task = TaskId {
                job: spec.id,
                index,
            };
            self.queue.push_back((task, spec.declared));
        }
    }

    pub(super) fn next(&mut self) -> Option<Placement> {
        for candidate in 0..self.queue.len().min(BACKFILL_TASKS) {
            let (task, demand) = self.queue[candidate];
            let Some(worker) = self
                .available
                .iter()
                .position(|available| demand.fits_in(*available))
            else {
                continue;
            };
            self.queue.remove(candidate);
            self.available[worker] = self.available[worker].saturating_sub(demand);
            self.running.insert(task, (worker, demand));
            let worker = Incarnation::new(worker as u64);
            return Some(Placement {
                task,
                worker,
                demand,
            });
        }
        None
    }

    pub(super) fn finished(&mut self, task: TaskId) {
        self.release(task);
    }

    /// Requeues a task that exceeded its memory at the front, with more memory.
    pub(super) fn killed(&mut self, task: TaskId) {
        let Some(reserved) = self.release(task) else {
            return;
        };
        let memory_mib = (reserved.memory_mib * MEMORY_GROWTH).min(self.limit.memory_mib);
        let demand = Resources {
            memory_mib,
            ..reserved
        };
        self.queue.push_front((task, demand));
    }

    fn release(&mut self, task: TaskId) -> Option<Resources> {
        let (worker, demand) = self.running.remove(&task)?;
        self.available[worker] += demand;
        Some(demand)
    }
}

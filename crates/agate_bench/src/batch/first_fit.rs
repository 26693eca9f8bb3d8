//! The baseline: first fit on declared sizes, in order of arrival, without a pair model.

use std::collections::{HashMap, VecDeque};

use agate_core::{Incarnation, Resources, TaskId};
use agate_place::{JobSpec, Placement};

/// Factor on the memory of a task that ran out of it.
const GROWTH: u32 = 2;

/// Tasks looked at beyond the first that does not fit.
const BACKFILL: usize = 64;

/// First fit.
#[derive(Debug)]
pub(super) struct FirstFit {
    waiting: VecDeque<(TaskId, Resources)>,
    /// Room left on each worker.
    room: Vec<Resources>,
    limit: Resources,
    running: HashMap<TaskId, (usize, Resources)>,
}

impl FirstFit {
    pub(super) fn new(workers: u64, limit: Resources) -> Self {
        Self {
            waiting: VecDeque::new(),
            room: (0..workers).map(|_| limit).collect(),
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
            self.waiting.push_back((task, spec.declared));
        }
    }

    pub(super) fn next(&mut self) -> Option<Placement> {
        for place in 0..self.waiting.len().min(BACKFILL) {
            let (task, demand) = self.waiting[place];
            let Some(worker) = self.room.iter().position(|room| demand.fits_in(*room)) else {
                continue;
            };
            self.waiting.remove(place);
            self.room[worker] = self.room[worker].saturating_sub(demand);
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
        self.free(task);
    }

    /// A task that ran out of memory waits again, at the front and with more.
    pub(super) fn killed(&mut self, task: TaskId) {
        let Some(given) = self.free(task) else {
            return;
        };
        let memory_mib = (given.memory_mib * GROWTH).min(self.limit.memory_mib);
        let demand = Resources {
            memory_mib,
            ..given
        };
        self.waiting.push_front((task, demand));
    }

    fn free(&mut self, task: TaskId) -> Option<Resources> {
        let (worker, demand) = self.running.remove(&task)?;
        self.room[worker] += demand;
        Some(demand)
    }
}

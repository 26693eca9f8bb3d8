//! The known workers and their free capacity.
//!
//! The view of an entry is only a hint: other entries place on the same workers concurrently, and
//! the agent of a worker refuses runs that no longer fit.

mod history;
mod index;
mod worker;

use std::collections::HashMap;

use agate_core::{Incarnation, Moment, Resources, TaskId};
use rand::Rng;
use slotmap::SlotMap;

pub use history::{History, MAX_READING_AGE, Mix};
pub use worker::{Admission, UrgentState, Worker, WorkerKey};

use crate::hash::KeyHashBuilder;
use crate::impossible::{ViewState, WorkerSizes};
use crate::{ClassKey, amount};
use index::Index;

/// Maximum number of sampling rounds. Samples may be duplicates or too small, so another round
/// follows if fewer than half of the wanted workers were found.
const SAMPLE_ROUNDS: usize = 3;

/// The workers known to an entry.
#[derive(Debug, Default)]
pub struct Workers {
    arena: SlotMap<WorkerKey, Worker>,
    by_id: HashMap<Incarnation, WorkerKey, KeyHashBuilder>,
    all: Vec<WorkerKey>,
    index: Index,
    sizes: WorkerSizes,
    total: Resources,
    headroom: u32,
}

impl Workers {
    /// Creates an empty set of workers. `headroom_percent` of each worker stays free.
    pub fn new(headroom_percent: u32) -> Self {
        Self {
            headroom: headroom_percent,
            ..Self::default()
        }
    }

    /// Sets the headroom of all workers.
    pub fn configure(&mut self, now: Moment, headroom_percent: u32) {
        self.headroom = headroom_percent;
        for key in self.all.clone() {
            let capacity = self.arena[key].capacity;
            let limit = self.limit_of(capacity);
            self.arena[key].limit = limit;
            self.sizes.remove(now, capacity);
            self.sizes.add(now, capacity, limit);
            self.reindex(key);
        }
    }

    /// Adds a worker. Does nothing if the worker is already known.
    pub fn join(&mut self, now: Moment, id: Incarnation, capacity: Resources) -> WorkerKey {
        if let Some(&key) = self.by_id.get(&id) {
            return key;
        }
        let limit = self.limit_of(capacity);
        let mut history = History::default();
        history.record(now, Mix::default());
        let key = self.arena.insert(Worker {
            id,
            capacity,
            limit,
            held: Resources::ZERO,
            untracked: Resources::ZERO,
            runs: Vec::new(),
            admission: Admission::Open,
            urgent: Vec::new(),
            mix: Mix::default(),
            history,
            slot: None,
            position: self.all.len(),
        });
        self.all.push(key);
        self.by_id.insert(id, key);
        self.sizes.add(now, capacity, limit);
        self.total += capacity;
        self.reindex(key);
        key
    }

    /// Removes a worker.
    pub fn leave(&mut self, now: Moment, id: Incarnation) -> Option<Worker> {
        let key = self.by_id.remove(&id)?;
        self.unindex(key);
        let worker = self.arena.remove(key)?;
        self.all.swap_remove(worker.position);
        if let Some(&moved) = self.all.get(worker.position) {
            self.arena[moved].position = worker.position;
        }
        self.sizes.remove(now, worker.capacity);
        self.total = self.total.saturating_sub(worker.capacity);
        Some(worker)
    }

    /// Returns the key of a worker.
    pub fn key(&self, id: Incarnation) -> Option<WorkerKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns a worker.
    pub fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.arena.get(key)
    }

    /// Returns the number of workers.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there are no workers.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns the total capacity of all workers.
    pub fn total(&self) -> Resources {
        self.total
    }

    /// Returns the distinct worker sizes.
    pub fn sizes(&self) -> &WorkerSizes {
        &self.sizes
    }

    /// Sets whether all workers are known.
    pub fn set_view(&mut self, now: Moment, view: ViewState) {
        self.sizes.set_view(now, view);
    }

    /// Sets whether a worker takes new tasks.
    pub fn set_admission(&mut self, key: WorkerKey, admission: Admission) {
        if let Some(worker) = self.arena.get_mut(key) {
            worker.admission = admission;
            self.reindex(key);
        }
    }

    /// Records the resources that the agent reports as held by its runs. The part beyond the
    /// tracked runs counts as untracked.
    pub fn report_held(&mut self, key: WorkerKey, held: Resources) {
        if let Some(worker) = self.arena.get_mut(key) {
            worker.untracked = held.saturating_sub(worker.held);
            self.reindex(key);
        }
    }

    /// Allocates resources for a run.
    pub fn allocate(&mut self, now: Moment, key: WorkerKey, run: Allocation) {
        let Some(worker) = self.arena.get_mut(key) else {
            return;
        };
        worker.held += run.amount;
        worker.runs.push(run.task);
        let share = worker.share(run.amount);
        worker.mix.add(run.class, share);
        worker.history.record(now, worker.mix.clone());
        self.reindex(key);
    }

    /// Frees the resources of a run and removes `share` from the mix.
    pub fn free(&mut self, now: Moment, key: WorkerKey, run: Allocation, share: f64) {
        let Some(worker) = self.arena.get_mut(key) else {
            return;
        };
        worker.held = worker.held.saturating_sub(run.amount);
        worker.runs.retain(|task| *task != run.task);
        self.adjust_mix(now, key, run.class, -share);
        self.reindex(key);
    }

    /// Changes the share of a class in a worker's mix, for example after a throttle.
    pub fn adjust_mix(&mut self, now: Moment, key: WorkerKey, class: ClassKey, change: f64) {
        if let Some(worker) = self.arena.get_mut(key) {
            worker.mix.add(class, change);
            worker.history.record(now, worker.mix.clone());
        }
    }

    /// Records the latest reading of an urgent class.
    pub fn record_urgent(&mut self, key: WorkerKey, state: UrgentState) {
        let Some(worker) = self.arena.get_mut(key) else {
            return;
        };
        worker.urgent.retain(|known| known.class != state.class);
        worker.urgent.push(state);
    }

    /// Samples up to `wanted` distinct workers with capacity for `demand`.
    pub fn sample(&self, demand: Resources, wanted: usize, rng: &mut impl Rng) -> Vec<WorkerKey> {
        let mut found: Vec<WorkerKey> = Vec::with_capacity(wanted);
        for _ in 0..SAMPLE_ROUNDS {
            for key in self.index.sample(demand, wanted - found.len(), rng) {
                if !found.contains(&key) && demand.fits_in(self.arena[key].available()) {
                    found.push(key);
                }
            }
            if found.len() * 2 >= wanted {
                break;
            }
        }
        found
    }

    /// Samples workers regardless of their free capacity. May return duplicates.
    pub fn sample_all(&self, wanted: usize, rng: &mut impl Rng) -> Vec<WorkerKey> {
        if self.all.is_empty() {
            return Vec::new();
        }
        let draw = |_| self.all[rng.random_range(0..self.all.len())];
        (0..wanted).map(draw).collect()
    }

    fn limit_of(&self, capacity: Resources) -> Resources {
        amount::percent_of(capacity, 100_u32.saturating_sub(self.headroom))
    }

    fn reindex(&mut self, key: WorkerKey) {
        let worker = &self.arena[key];
        let available = worker.available();
        let is_open = worker.admission == Admission::Open;
        if is_open
            && worker
                .slot
                .is_some_and(|slot| Index::is_at(slot, available))
        {
            return;
        }
        self.unindex(key);
        if is_open {
            self.arena[key].slot = Some(self.index.insert(key, available));
        }
    }

    fn unindex(&mut self, key: WorkerKey) {
        let Some(slot) = self.arena[key].slot.take() else {
            return;
        };
        if let Some(moved) = self.index.remove(slot) {
            self.arena[moved.worker].slot = Some(moved.slot);
        }
    }
}

/// Resources allocated to one run.
#[derive(Debug, Clone, Copy)]
pub struct Allocation {
    /// The task.
    pub task: TaskId,
    /// Its class.
    pub class: ClassKey,
    /// The allocated resources.
    pub amount: Resources,
}

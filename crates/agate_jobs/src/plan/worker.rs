//! The scheduler's view of one worker.

use std::collections::HashMap;

use agate_core::{JobId, Moment, Resources};

use crate::plan::health::Health;
use crate::record::SuspicionRecord;
use crate::spec::StepSpec;
use crate::task::TaskKey;
use crate::worker::{WorkerReport, WorkerState};

/// Share of the processor demand of lasting tasks that they leave unused on average, in percent.
const LASTING_SPARE: u32 = 60;

/// Use that serving tasks are taken to leave before their worker has reported.
const UNKNOWN_HEADROOM: f64 = 0.3;

/// A run that is bound to a worker and whose end is not on record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Binding {
    pub run: u32,
    pub worker: usize,
    pub term: (u64, u32),
    pub demand: Resources,
    pub best_effort: bool,
    /// Image of a task with a latency target; empty for others.
    pub serving_image: String,
    /// Image of a task that fills; empty for others.
    pub best_effort_image: String,
    pub long_running: bool,
    pub estimate_ms: u64,
    pub stopping: bool,
}

/// A worker.
#[derive(Debug)]
pub(super) struct Worker {
    pub report: WorkerReport,
    pub suspicion: SuspicionRecord,
    /// When the open suspicion was on record; `None` if there is none or it is not yet recorded.
    pub suspected_at: Option<Moment>,
    pub last_contact: Moment,
    /// Demand of tasks that count against the capacity; memory counts for all tasks.
    pub used: Resources,
    /// Processor demand of tasks that fill.
    pub filled: u32,
    /// Processor demand of lasting tasks.
    pub long_running: u32,
    /// Room for lasting tasks that wait until others have ended, in the present round.
    pub kept: Resources,
    /// Whether its records were dropped after it had left.
    pub forgotten: bool,
    pub health: Health,
    /// Number of tasks with a latency target by image.
    pub serving_images: HashMap<String, u32>,
    /// Number of tasks that fill by image.
    pub best_effort_images: HashMap<String, u32>,
    /// Tasks of each step that run here.
    pub steps: HashMap<(JobId, u32, u32), u32>,
}

impl Worker {
    pub fn new(report: WorkerReport, suspicion: SuspicionRecord, now: Moment) -> Self {
        Self {
            report,
            suspicion,
            suspected_at: None,
            last_contact: now,
            used: Resources::ZERO,
            filled: 0,
            long_running: 0,
            kept: Resources::ZERO,
            forgotten: false,
            health: Health::default(),
            serving_images: HashMap::new(),
            best_effort_images: HashMap::new(),
            steps: HashMap::new(),
        }
    }

    /// Whether new tasks may be bound to it.
    pub fn takes_tasks(&self, now: Moment) -> bool {
        self.report.state == WorkerState::Ready
            && self.report.incarnation == self.suspicion.incarnation
            && !self.suspicion.suspected
            && self.health.takes_tasks(now)
    }

    /// Whether a task of a step fits beside what is bound and what is kept for lasting tasks.
    pub fn has_room(&self, step: &StepSpec) -> bool {
        let demand = step.demand;
        let room = self.report.capacity.saturating_sub(self.used);
        if step.long_running {
            return demand.fits_in(room);
        }
        if !step.best_effort {
            return demand.fits_in(room.saturating_sub(self.kept));
        }
        let room = room.saturating_sub(without_processor(self.kept));
        let idle = self.long_running / 100 * LASTING_SPARE;
        let spare = (room.millicores + idle).saturating_sub(self.filled);
        demand.fits_in(Resources {
            millicores: spare,
            ..room
        })
    }

    /// Processor time that a lasting task of this demand lacks until short tasks have ended; `None`
    /// if it doesn't fit even then.
    pub fn lacks(&self, demand: Resources) -> Option<u32> {
        let kept = self.long_running + self.kept.millicores;
        let most = self.report.capacity.millicores.saturating_sub(kept);
        let room = self.report.capacity.saturating_sub(self.used);
        let room = room.saturating_sub(self.kept);
        let fits = demand.millicores <= most && demand.memory_mib <= room.memory_mib;
        fits.then(|| demand.millicores.saturating_sub(room.millicores))
    }

    pub fn bind(&mut self, task: TaskKey, binding: &Binding) {
        *self.steps.entry(step_of(task)).or_default() += 1;
        let demand = binding.demand;
        if binding.best_effort {
            self.filled += demand.millicores;
            self.used += without_processor(demand);
        } else {
            self.used += demand;
        }
        if binding.long_running {
            self.long_running += demand.millicores;
        }
        if !binding.best_effort_image.is_empty() {
            *self
                .best_effort_images
                .entry(binding.best_effort_image.clone())
                .or_default() += 1;
        }
        if !binding.serving_image.is_empty() {
            *self
                .serving_images
                .entry(binding.serving_image.clone())
                .or_default() += 1;
        }
    }

    pub fn release(&mut self, task: TaskKey, binding: &Binding) {
        decrement(&mut self.steps, &step_of(task));
        decrement(&mut self.serving_images, &binding.serving_image);
        decrement(&mut self.best_effort_images, &binding.best_effort_image);
        let demand = binding.demand;
        if binding.best_effort {
            self.filled = self.filled.saturating_sub(demand.millicores);
            self.used = self.used.saturating_sub(without_processor(demand));
        } else {
            self.used = self.used.saturating_sub(demand);
        }
        if binding.long_running {
            self.long_running = self.long_running.saturating_sub(demand.millicores);
        }
    }

    /// Use that serving tasks of an image leave to tasks that fill.
    pub fn headroom(&self, serving: &str) -> f64 {
        let mut rooms = self.report.headroom.iter();
        let room = rooms.find(|room| room.serving == serving);
        room.map_or(UNKNOWN_HEADROOM, |room| f64::from(room.milli) / 1_000.0)
    }

    /// Tasks of the step of `task` that are bound to this worker.
    pub fn siblings(&self, task: TaskKey) -> u32 {
        self.steps.get(&step_of(task)).copied().unwrap_or(0)
    }
}

fn decrement<K: std::hash::Hash + Eq>(counts: &mut HashMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

const fn step_of(task: TaskKey) -> (JobId, u32, u32) {
    (task.job, task.occurrence, task.step)
}

const fn without_processor(demand: Resources) -> Resources {
    Resources {
        millicores: 0,
        ..demand
    }
}

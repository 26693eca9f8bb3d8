//! Which of several workers gets a task.

use agate_core::{Moment, Resources};
use agate_preset::policy::{Eviction, Interference, Weights};
use rand::Rng;

use crate::interference::Model;
use crate::workers::{MAX_READING_AGE, Worker, WorkerKey, Workers};
use crate::{ClassKey, amount};

/// Cost of leaving an accelerator idle behind a task that needs none.
const STRANDED_ACCELERATOR: f64 = 1.0;

/// Cost of a worker on which the task has failed, above that of any other worker.
const FAILED_HERE: f64 = 1e6;

/// A worker on which the task has failed is not taken at all while others are at least this many for
/// each such worker.
const OTHERS: usize = 2;

/// What is placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Class of the task.
    pub class: ClassKey,
    /// What is set aside for it.
    pub demand: Resources,
    /// Workers on which the task has failed.
    pub avoid: &'a [WorkerKey],
}

/// The policy in force.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Workers sampled for each task.
    pub candidates: u32,
    /// Limits of predicted slowdown.
    pub interference: Interference,
    /// Thresholds of the steps that follow when urgent work is slowed.
    pub eviction: Eviction,
    /// Weights of the measures.
    pub weights: Weights,
}

impl Rules {
    /// The largest slowdown that may be predicted. Half of the band between release and throttle stays
    /// free: a worker filled up to the threshold would be throttled at the next rise of load.
    fn limit(&self) -> f64 {
        let release = amount::ratio(self.eviction.release_percent);
        let throttle = amount::ratio(self.eviction.throttle_percent);
        let safe = f64::midpoint(release, throttle);
        amount::ratio(self.interference.limit_percent).min(safe)
    }
}

/// Whether the predicted slowdown counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// It counts.
    Predict,
    /// It is ignored once, to learn.
    Explore,
}

/// Why no worker was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoWorker {
    /// No sampled worker has room.
    NoRoom,
    /// On each sampled worker the task would slow urgent work too much.
    SlowsUrgent,
}

/// Chooses a worker.
///
/// # Errors
///
/// Returns why none was chosen.
pub fn choose(
    now: Moment,
    wanted: PlacementRequest<'_>,
    workers: &Workers,
    model: &Model,
    rules: &Rules,
    rng: &mut impl Rng,
) -> Result<WorkerKey, NoWorker> {
    let found = workers.sample(wanted.demand, rules.candidates as usize, rng);
    if found.is_empty() {
        return Err(NoWorker::NoRoom);
    }
    let mode = if rng.random_range(0..100) < rules.interference.explore_percent {
        Mode::Explore
    } else {
        Mode::Predict
    };
    let mut best: Option<(f64, WorkerKey)> = None;
    for key in found {
        let Some(worker) = workers.get(key) else {
            continue;
        };
        let Some(cost) = cost(now, wanted, worker, model, rules, mode) else {
            continue;
        };
        let cost = if !wanted.avoid.contains(&key) {
            cost
        } else if wanted.avoid.len() * OTHERS < workers.len() {
            continue;
        } else {
            cost + FAILED_HERE
        };
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key).ok_or(NoWorker::SlowsUrgent)
}

/// The cost of a worker in points of the preset's weights, or `None` if urgent work would be slowed
/// beyond the limit.
fn cost(
    now: Moment,
    wanted: PlacementRequest<'_>,
    worker: &Worker,
    model: &Model,
    rules: &Rules,
    mode: Mode,
) -> Option<f64> {
    let weights = rules.weights;
    let mut cost = f64::from(weights.throughput) * waste(wanted.demand, worker);
    if mode == Mode::Explore {
        return Some(cost);
    }
    let effect = effect(now, wanted, worker, model);
    let limit = rules.limit();
    if effect.slowdown > limit {
        return None;
    }
    let margin = amount::ratio(rules.eviction.throttle_percent) - 1.0;
    let risk = ((effect.slowdown - 1.0) / margin).clamp(0.0, 1.0);
    cost += f64::from(weights.latency) * effect.added / limit.ln();
    cost += f64::from(weights.evictions) * risk * risk;
    Some(cost)
}

/// What a task does to the urgent work of a worker.
#[derive(Debug, Clone, Copy)]
struct Effect {
    /// Predicted slowdown, with the task, of the class that suffers most.
    slowdown: f64,
    /// Logarithm of what the task adds, for the class to which it adds most.
    added: f64,
}

fn effect(now: Moment, wanted: PlacementRequest<'_>, worker: &Worker, model: &Model) -> Effect {
    let share = worker.share(wanted.demand);
    let mut effect = Effect {
        slowdown: 1.0,
        added: 0.0,
    };
    let fresh = worker
        .urgent
        .iter()
        .filter(|state| now.since(state.measured_at) <= MAX_READING_AGE);
    for state in fresh {
        let more = (wanted.class, share);
        let (slowdown, added) = model.predict_with(now, state.class, state.band, &worker.mix, more);
        effect.slowdown = effect.slowdown.max(slowdown);
        effect.added = effect.added.max(added);
    }
    effect
}

/// How badly a task fits, between 0 and about 2: room left in odd proportions, and accelerators that
/// nobody can use once processors or memory are gone.
fn waste(demand: Resources, worker: &Worker) -> f64 {
    let left = worker.available().saturating_sub(demand);
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    let processors = share(left.millicores, worker.limit.millicores);
    let memory = share(left.memory_mib, worker.limit.memory_mib);
    let odd = (processors - memory).abs();
    let loose = processors.min(memory);
    let stranded = if demand.accelerators == 0 && worker.available().accelerators > 0 {
        STRANDED_ACCELERATOR
    } else {
        0.0
    };
    0.5 * odd + 0.5 * loose + stranded
}

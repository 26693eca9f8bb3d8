//! Chooses a worker for a task from sampled candidates.

use agate_core::{Moment, Resources};
use agate_preset::policy::{Eviction, Interference, Weights};
use rand::Rng;

use crate::interference::Model;
use crate::workers::{MAX_READING_AGE, Worker, WorkerKey, Workers};
use crate::{ClassKey, amount};

/// Cost of leaving an accelerator idle behind a task that needs none.
const STRANDED_ACCELERATOR_COST: f64 = 1.0;

/// Penalty for a worker on which the task has failed; larger than any other cost.
const FAILED_HERE_COST: f64 = 1e6;

/// A task never returns to a worker on which it has failed while there are more than this many
/// workers per such worker that are large enough for it.
const WORKERS_PER_AVOIDED: usize = 2;

/// The task to place.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Class of the task.
    pub class: ClassKey,
    /// Resources to allocate.
    pub demand: Resources,
    /// Workers on which the task has failed.
    pub avoid: &'a [WorkerKey],
}

/// Preset settings that guide the choice.
#[derive(Debug, Clone, Copy)]
pub struct Rules {
    /// Number of workers sampled per task.
    pub candidates: u32,
    /// Limits on the predicted slowdown.
    pub interference: Interference,
    /// Thresholds for throttling and eviction.
    pub eviction: Eviction,
    /// Relative weights of the cost terms.
    pub weights: Weights,
}

impl Rules {
    /// Returns the largest predicted slowdown that is accepted. It stays at the middle of the band
    /// between release and throttle: a worker filled up to the throttle threshold would be
    /// throttled at the next rise of load.
    fn max_slowdown(&self) -> f64 {
        let release = amount::ratio(self.eviction.release_percent);
        let throttle = amount::ratio(self.eviction.throttle_percent);
        let safe_slowdown = f64::midpoint(release, throttle);
        amount::ratio(self.interference.limit_percent).min(safe_slowdown)
    }
}

/// Whether the predicted slowdown is taken into account.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Mode {
    /// Uses the prediction.
    Predict,
    /// Ignores the prediction for this task, so that the model gets new samples.
    Explore,
}

/// Why no worker was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum NoWorker {
    /// No sampled worker has enough free capacity.
    NoRoom,
    /// On every sampled worker, the task would slow urgent work beyond the limit.
    SlowsUrgent,
}

/// Chooses the sampled worker with the lowest cost.
///
/// # Errors
///
/// Returns why no worker was chosen.
pub fn choose(
    now: Moment,
    request: PlacementRequest<'_>,
    workers: &Workers,
    model: &Model,
    rules: &Rules,
    rng: &mut impl Rng,
) -> Result<WorkerKey, NoWorker> {
    let sampled = workers.sample(request.demand, rules.candidates as usize, rng);
    if sampled.is_empty() {
        return Err(NoWorker::NoRoom);
    }
    let mode = if rng.random_range(0..100) < rules.interference.explore_percent {
        Mode::Explore
    } else {
        Mode::Predict
    };
    let never_returns = !request.avoid.is_empty()
        && request.avoid.len() * WORKERS_PER_AVOIDED < workers.sizes().count_for(request.demand);
    let mut best: Option<(f64, WorkerKey)> = None;
    for key in sampled {
        let Some(worker) = workers.get(key) else {
            continue;
        };
        let Some(cost) = cost(now, request, worker, model, rules, mode) else {
            continue;
        };
        let cost = if !request.avoid.contains(&key) {
            cost
        } else if never_returns {
            continue;
        } else {
            cost + FAILED_HERE_COST
        };
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, key));
        }
    }
    best.map(|(_, key)| key).ok_or(NoWorker::SlowsUrgent)
}

/// Returns the cost of a worker in points of the preset's weights, or `None` if urgent work would
/// be slowed beyond the limit.
fn cost(
    now: Moment,
    request: PlacementRequest<'_>,
    worker: &Worker,
    model: &Model,
    rules: &Rules,
    mode: Mode,
) -> Option<f64> {
    let weights = rules.weights;
    let mut cost = f64::from(weights.throughput) * fragmentation(request.demand, worker);
    if mode == Mode::Explore {
        return Some(cost);
    }
    let effect = predict_effect(now, request, worker, model);
    let max_slowdown = rules.max_slowdown();
    if effect.slowdown > max_slowdown {
        return None;
    }
    let margin = amount::ratio(rules.eviction.throttle_percent) - 1.0;
    let risk = ((effect.slowdown - 1.0) / margin).clamp(0.0, 1.0);
    cost += f64::from(weights.latency) * effect.added_ln / max_slowdown.ln();
    cost += f64::from(weights.evictions) * risk * risk;
    Some(cost)
}

/// Predicted effect of a task on the urgent work of a worker.
#[derive(Debug, Clone, Copy)]
struct Effect {
    /// Predicted slowdown of the most affected class, with the task placed.
    slowdown: f64,
    /// Log slowdown added by the task to the class to which it adds most.
    added_ln: f64,
}

fn predict_effect(
    now: Moment,
    request: PlacementRequest<'_>,
    worker: &Worker,
    model: &Model,
) -> Effect {
    let share = worker.share(request.demand);
    let mut effect = Effect {
        slowdown: 1.0,
        added_ln: 0.0,
    };
    let fresh = worker
        .urgent
        .iter()
        .filter(|state| now.since(state.measured_at) <= MAX_READING_AGE);
    for state in fresh {
        let more = (request.class, share);
        let (slowdown, added_ln) =
            model.predict_with(now, state.class, state.band, &worker.mix, more);
        effect.slowdown = effect.slowdown.max(slowdown);
        effect.added_ln = effect.added_ln.max(added_ln);
    }
    effect
}

/// Returns how poorly a task fits, from 0 to about 2. Counts unbalanced leftovers of processors and
/// memory, and accelerators that are stranded once processors or memory run out.
fn fragmentation(demand: Resources, worker: &Worker) -> f64 {
    let left = worker.available().saturating_sub(demand);
    let share = |part: u32, whole: u32| f64::from(part) / f64::from(whole.max(1));
    let processors = share(left.millicores, worker.limit.millicores);
    let memory = share(left.memory_mib, worker.limit.memory_mib);
    let imbalance = (processors - memory).abs();
    let leftover = processors.min(memory);
    let stranded = if demand.accelerators == 0 && worker.available().accelerators > 0 {
        STRANDED_ACCELERATOR_COST
    } else {
        0.0
    };
    0.5 * imbalance + 0.5 * leftover + stranded
}

//! Model of the load and interference on a worker, learned from samples.
//!
//! The utilization of a serving task is its own load, which varies over time, plus the interference
//! of the best-effort tasks on the worker, which depends on the pair of images. A single filter
//! estimates all of these with their covariances, so that a sample corrects the least certain
//! estimates the most.

use std::collections::{BTreeMap, HashMap, HashSet};
use std::time::Duration;

use agate_core::Moment;

use crate::pace::filter::{Estimate, KalmanFilter};
use crate::pace::sample::{self, Measurement, SATURATED};
use crate::pace::{Interference, MAX_INTERFERENCE, ServingTask};
use crate::task::TaskKey;

/// Interference assumed for a pair of images that nothing is known of.
pub const DEFAULT_INTERFERENCE: f64 = 0.1;

/// Initial estimate of a pair. Most pairs add next to nothing, some add a third.
const INITIAL_PAIR: Estimate = Estimate {
    mean: DEFAULT_INTERFERENCE,
    variance: 0.03,
};

/// Variance of estimates imported from other agents.
const IMPORTED_VARIANCE: f64 = 0.001;

/// Variance below which a pair counts as known.
const KNOWN_VARIANCE: f64 = 0.002;

/// Growth of a pair's variance per second, since the interference of an image changes.
const PAIR_NOISE: f64 = 0.000_05;

/// Initial estimate of a serving task's load. Covers idle tasks as well as those near the usual
/// limits.
const INITIAL_LOAD: Estimate = Estimate {
    mean: 0.4,
    variance: 0.04,
};

/// Initial estimate of the change of a load per second.
const INITIAL_SLOPE: Estimate = Estimate {
    mean: 0.0,
    variance: 0.003,
};

/// Growth of a load's variance per second, beyond what its slope explains.
const LOAD_NOISE: f64 = 0.000_5;

/// Growth of a slope's variance per second. The slope of a load that swings by half within 10 s
/// changes by 0.08 per second.
const SLOPE_NOISE: f64 = 0.01;

/// Time constant for the decay of a slope that samples don't confirm, in seconds.
const SLOPE_DECAY_S: f64 = 4.0;

/// Upper bound for the estimated load of a serving task.
const MAX_LOAD: f64 = 0.85;

/// Upper bound for the estimated slope of a load, per second.
const MAX_SLOPE: f64 = 0.3;

/// Time constant of the average load, in seconds.
const LOAD_AVERAGE_S: f64 = 4.0;

/// Share of a change in interference that the next sample may not show yet.
const CHANGE_NOISE: f64 = 0.3;

/// Idle tail latency as a share of the lowest sampled one, which some load has raised.
const IDLE_SHARE: f64 = 0.8;

/// Upper bound for the idle tail latency, as a share of the target.
const MAX_IDLE_SHARE: f64 = 0.25;

/// Work of best-effort tasks by image, in tasks at full speed.
pub(super) type Work = BTreeMap<String, f64>;

/// A serving image and a best-effort image.
type Pair = (String, String);

/// A quantity estimated by the filter.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Quantity {
    /// Utilization of a serving task by its own load.
    Load(TaskKey),
    /// Change of that load per second.
    Slope(TaskKey),
    /// Utilization that one best-effort task at full speed adds to a serving task.
    Pair(Pair),
}

/// The newest sample of a serving task and the best-effort work at that time.
#[derive(Debug)]
struct LastSample {
    sample: f64,
    at: Moment,
    work: Work,
}

/// Estimates of load and interference on a worker.
#[derive(Debug, Default)]
pub(super) struct InterferenceModel {
    lowest_tail_ms: HashMap<String, f64>,
    filter: KalmanFilter<Quantity>,
    /// Pairs of images that don't currently run together.
    inactive_pairs: HashMap<Pair, Estimate>,
    /// Pairs whose estimate was imported from other agents.
    imported: HashSet<Pair>,
    last: HashMap<TaskKey, LastSample>,
    /// Moving average of the load of each serving task.
    average_loads: HashMap<TaskKey, f64>,
    advanced_at: Option<Moment>,
}

impl InterferenceModel {
    /// Imports the interference of pairs that this model doesn't know yet.
    pub fn import(&mut self, interference: &[Interference]) {
        for imported in interference {
            let pair = (imported.serving.clone(), imported.best_effort.clone());
            if self
                .pair_estimate(&imported.serving, &imported.best_effort)
                .variance
                < KNOWN_VARIANCE
            {
                continue;
            }
            // If the pair already runs together, learning continues from the imported estimate.
            self.filter
                .retain(|quantity| *quantity != Quantity::Pair(pair.clone()));
            let estimate = Estimate {
                mean: f64::from(imported.milli) / 1_000.0,
                variance: IMPORTED_VARIANCE,
            };
            self.inactive_pairs.insert(pair.clone(), estimate);
            self.imported.insert(pair);
        }
    }

    /// Advances the model to `now` for the given serving tasks and best-effort work.
    pub fn advance(&mut self, serving: &[ServingTask], work: &Work, now: Moment) {
        let passed = self.advanced_at.map_or(Duration::ZERO, |at| now.since(at));
        self.advanced_at = Some(now);
        self.retain_active(serving, work);
        let dt = passed.as_secs_f64();
        let kept = (-dt / SLOPE_DECAY_S).exp();
        for task in serving {
            let (load, slope) = self.load_and_slope(task.task);
            self.filter.predict(load, slope, dt, kept);
            self.filter.add_variance(load, LOAD_NOISE * dt, f64::MAX);
            self.filter.add_variance(slope, SLOPE_NOISE * dt, f64::MAX);
            self.clamp_load(load, slope);
        }
        for serving in images(serving) {
            for best_effort in work.keys() {
                let at = self.pair_index(&serving, best_effort);
                let most = INITIAL_PAIR.variance;
                self.filter.add_variance(at, PAIR_NOISE * dt, most);
            }
        }
        for task in serving {
            let level = self.load(task.task);
            let average = self.average_loads.entry(task.task).or_insert(level);
            *average += (level - *average) * (1.0 - (-dt / LOAD_AVERAGE_S).exp());
        }
    }

    /// Learns from the sample of a serving task and returns the utilization measured from it.
    pub fn observe(&mut self, task: &ServingTask, work: &Work, now: Moment) -> Measurement {
        let lowest_tail_ms = self
            .lowest_tail_ms
            .entry(task.image.clone())
            .or_insert(f64::MAX);
        *lowest_tail_ms = lowest_tail_ms.min(task.tail_ms);
        let last = self.last.remove(&task.task);
        let before = last.as_ref().map(|l| (l.sample, now.since(l.at)));
        let measurement = sample::measure(task.tail_ms, before, self.idle_tail_ms(task));
        let unseen_change = last.map_or(0.0, |l| {
            self.interference_change(&task.image, &l.work, work)
        });
        let (load, slope) = self.load_and_slope(task.task);
        let mut terms = vec![(load, 1.0)];
        for (best_effort, tasks) in work {
            terms.push((self.pair_index(&task.image, best_effort), *tasks));
        }
        let error = measurement.utilization - self.filter.expected_sum(&terms);
        if error > 0.0 || measurement.utilization < SATURATED {
            let unseen_change = CHANGE_NOISE * unseen_change;
            let noise = measurement.variance + unseen_change * unseen_change;
            self.filter.update(&terms, error, noise);
            self.clamp_load(load, slope);
            for (at, _) in &terms[1..] {
                self.filter.clamp(*at, 0.0, MAX_INTERFERENCE);
            }
        }
        let newest = LastSample {
            sample: task.tail_ms,
            at: now,
            work: work.clone(),
        };
        self.last.insert(task.task, newest);
        measurement
    }

    /// Returns the current load of a serving task.
    pub fn load(&self, task: TaskKey) -> f64 {
        let load = self.filter.get(&Quantity::Load(task));
        load.unwrap_or(INITIAL_LOAD).mean
    }

    /// Returns the highest load expected within `time`.
    pub fn predicted_load(&self, task: TaskKey, time: Duration) -> f64 {
        let slope = self.filter.get(&Quantity::Slope(task));
        let slope = slope.unwrap_or(INITIAL_SLOPE).mean;
        self.load(task) + slope.max(0.0) * time.as_secs_f64()
    }

    /// Returns the moving average of a serving task's load.
    pub fn average_load(&self, task: TaskKey) -> f64 {
        self.average_loads
            .get(&task)
            .copied()
            .unwrap_or(INITIAL_LOAD.mean)
    }

    /// Returns the estimated interference of a pair of images.
    pub fn pair_estimate(&self, serving: &str, best_effort: &str) -> Estimate {
        let pair = (serving.to_owned(), best_effort.to_owned());
        let inactive = self.inactive_pairs.get(&pair).copied();
        let followed = || self.filter.get(&Quantity::Pair(pair));
        inactive.or_else(followed).unwrap_or(INITIAL_PAIR)
    }

    /// Returns whether a pair's estimate is more than a guess.
    pub fn is_known(&self, serving: &str, best_effort: &str) -> bool {
        self.pair_estimate(serving, best_effort).variance < KNOWN_VARIANCE
    }

    /// Returns the interference of the pairs learned from samples of this worker.
    pub fn interference(&self) -> Vec<Interference> {
        let followed = self
            .filter
            .iter()
            .filter_map(|(quantity, estimate)| match quantity {
                Quantity::Pair(pair) => Some((pair, estimate)),
                Quantity::Load(_) | Quantity::Slope(_) => None,
            });
        let inactive = self
            .inactive_pairs
            .iter()
            .map(|(pair, estimate)| (pair, *estimate));
        let learned = followed.chain(inactive).filter(|(pair, estimate)| {
            let imported = self.imported.contains(*pair);
            let most = if imported {
                IMPORTED_VARIANCE / 2.0
            } else {
                KNOWN_VARIANCE
            };
            estimate.variance < most
        });
        learned
            .map(|((serving, best_effort), estimate)| {
                Interference::new(serving, best_effort, estimate.mean)
            })
            .collect()
    }

    /// Returns the tail latency of a serving task at zero utilization, in milliseconds.
    pub fn idle_tail_ms(&self, task: &ServingTask) -> f64 {
        let lowest_tail_ms = self.lowest_tail_ms.get(&task.image).copied();
        let idle_tail_ms = lowest_tail_ms.unwrap_or(task.tail_ms) * IDLE_SHARE;
        idle_tail_ms.min(task.target_ms * MAX_IDLE_SHARE)
    }

    /// Drops tasks and pairs that no longer run, but keeps the estimates of the pairs.
    fn retain_active(&mut self, serving: &[ServingTask], work: &Work) {
        let is_served = |task: &TaskKey| serving.iter().any(|known| known.task == *task);
        let serves = |image: &String| serving.iter().any(|known| known.image == *image);
        self.last.retain(|task, _| is_served(task));
        self.average_loads.retain(|task, _| is_served(task));
        let dropped = self.filter.retain(|quantity| match quantity {
            Quantity::Load(task) | Quantity::Slope(task) => is_served(task),
            Quantity::Pair((serving, best_effort)) => {
                serves(serving) && work.contains_key(best_effort)
            }
        });
        for (quantity, estimate) in dropped {
            if let Quantity::Pair(pair) = quantity {
                self.inactive_pairs.insert(pair, estimate);
            }
        }
    }

    fn load_and_slope(&mut self, task: TaskKey) -> (usize, usize) {
        let load = self
            .filter
            .index_or_insert(Quantity::Load(task), INITIAL_LOAD);
        let slope = self
            .filter
            .index_or_insert(Quantity::Slope(task), INITIAL_SLOPE);
        (load, slope)
    }

    fn pair_index(&mut self, serving: &str, best_effort: &str) -> usize {
        let pair = (serving.to_owned(), best_effort.to_owned());
        let first = self.inactive_pairs.remove(&pair).unwrap_or(INITIAL_PAIR);
        self.filter.index_or_insert(Quantity::Pair(pair), first)
    }

    fn clamp_load(&mut self, load: usize, slope: usize) {
        self.filter.clamp(load, 0.0, MAX_LOAD);
        self.filter.clamp(slope, -MAX_SLOPE, MAX_SLOPE);
    }

    /// Returns the total absolute change in interference with a serving image between two states of
    /// the work.
    fn interference_change(&self, serving: &str, last: &Work, now: &Work) -> f64 {
        let at = |work: &Work, image| work.get(image).copied().unwrap_or(0.0);
        let gone = last.keys().filter(|image| !now.contains_key(*image));
        let images = now.keys().chain(gone);
        images
            .map(|image| {
                (at(now, image) - at(last, image)).abs() * self.pair_estimate(serving, image).mean
            })
            .sum()
    }
}

/// Returns the distinct images of serving tasks.
fn images(serving: &[ServingTask]) -> Vec<String> {
    let mut images: Vec<String> = serving.iter().map(|task| task.image.clone()).collect();
    images.sort_unstable();
    images.dedup();
    images
}

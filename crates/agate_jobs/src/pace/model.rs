//! What is learned of the tasks on one worker from their figures.
//!
//! The use of a serving task is its own load, which rises and falls, and what the filling tasks
//! beside it add by pair of images. One filter follows all of these with their covariances, so that
//! a figure corrects what is least known.

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use agate_core::Moment;

use crate::pace::filter::{Estimate, Filter};
use crate::pace::sample::{self, Reading, SATURATED};
use crate::pace::{Interference, MAX_INTERFERENCE, ServingTask};
use crate::task::TaskKey;

/// Use that a pair of images is taken to add before anything is known of it.
pub const DEFAULT_INTERFERENCE: f64 = 0.1;

/// A pair before anything is known of it: most add next to nothing, some a third.
const UNKNOWN_PAIR: Estimate = Estimate {
    mean: DEFAULT_INTERFERENCE,
    variance: 0.03,
};

/// Variance of what other agents have learned.
const TOLD_VARIANCE: f64 = 0.001;

/// Variance below which a pair counts as known.
const KNOWN_VARIANCE: f64 = 0.002;

/// Growth of a pair's variance in a second: what an image adds changes.
const PAIR_NOISE: f64 = 0.000_05;

/// Load of a serving task before anything is known of it: from idle to near the usual limits.
const UNKNOWN_LOAD: Estimate = Estimate {
    mean: 0.4,
    variance: 0.04,
};

/// Change of such a load in a second.
const UNKNOWN_SLOPE: Estimate = Estimate {
    mean: 0.0,
    variance: 0.003,
};

/// Growth of a load's variance in a second beside what its slope explains.
const LOAD_NOISE: f64 = 0.000_5;

/// Growth of a slope's variance in a second: a load that swings by half within ten seconds changes
/// its slope by 0.08 in a second.
const SLOPE_NOISE: f64 = 0.01;

/// Time in which a slope that is not confirmed fades, in seconds.
const SLOPE_TIME: f64 = 4.0;

/// Largest load that a serving task may be found to have of its own.
const LOAD_LIMIT: f64 = 0.85;

/// Steepest slope, per second.
const SLOPE_LIMIT: f64 = 0.3;

/// Time over which the usual load is averaged, in seconds.
const USUAL_TIME: f64 = 4.0;

/// Share of a change of the work beside a task that its figure may not yet show.
const CHANGE_NOISE: f64 = 0.3;

/// Tail latency of an idle task as a share of the lowest tail seen, which some load had raised.
const IDLE_SHARE: f64 = 0.8;

/// Largest tail latency of an idle task as a share of its target.
const IDLE_LIMIT: f64 = 0.25;

/// Work of filling tasks by image, as a number of tasks at full speed.
pub(super) type Work = HashMap<String, f64>;

/// A serving image and a filling image.
type Pair = (String, String);

/// A quantity that the filter follows.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Part {
    /// Use of a serving task by its own users.
    Load(TaskKey),
    /// Change of that use in a second.
    Slope(TaskKey),
    /// Use that one filling task at full speed adds to a serving task.
    Pair(Pair),
}

/// The newest figure of a serving task.
#[derive(Debug)]
struct Last {
    sample: f64,
    at: Moment,
    work: Work,
}

/// Estimates of loads and pressures on one worker.
#[derive(Debug, Default)]
pub(super) struct Learned {
    lowest: HashMap<String, f64>,
    filter: Filter<Part>,
    /// Pairs of images that don't meet now.
    apart: HashMap<Pair, Estimate>,
    /// Pairs that rest on what other agents have told.
    told: HashSet<Pair>,
    last: HashMap<TaskKey, Last>,
    /// Average load of each serving task over some seconds.
    usual: HashMap<TaskKey, f64>,
    observed: Option<Moment>,
}

impl Learned {
    /// Takes over what others have learned, for pairs that are not known here.
    pub fn import(&mut self, interference: &[Interference]) {
        for told in interference {
            let pair = (told.serving.clone(), told.best_effort.clone());
            if self.pair(&told.serving, &told.best_effort).variance < KNOWN_VARIANCE {
                continue;
            }
            // A pair that meets already goes on to be learned with what is told as a first guess.
            self.filter.retain(|part| *part != Part::Pair(pair.clone()));
            let estimate = Estimate {
                mean: f64::from(told.milli) / 1_000.0,
                variance: TOLD_VARIANCE,
            };
            self.apart.insert(pair.clone(), estimate);
            self.told.insert(pair);
        }
    }

    /// Lets time pass and follows the serving tasks and the work beside them.
    pub fn advance(&mut self, serving: &[ServingTask], work: &Work, now: Moment) {
        let passed = self.observed.map_or(Duration::ZERO, |at| now.since(at));
        self.observed = Some(now);
        self.follow(serving, work);
        let dt = passed.as_secs_f64();
        let kept = (-dt / SLOPE_TIME).exp();
        for task in serving {
            let (load, slope) = self.parts_of(task.task);
            self.filter.flow(load, slope, dt, kept);
            self.filter.blur(load, LOAD_NOISE * dt, f64::MAX);
            self.filter.blur(slope, SLOPE_NOISE * dt, f64::MAX);
            self.bound(load, slope);
        }
        for serving in images(serving) {
            for best_effort in work.keys() {
                let at = self.part_of_pair(&serving, best_effort);
                let most = UNKNOWN_PAIR.variance;
                self.filter.blur(at, PAIR_NOISE * dt, most);
            }
        }
        for task in serving {
            let level = self.load(task.task);
            let usual = self.usual.entry(task.task).or_insert(level);
            *usual += (level - *usual) * (1.0 - (-dt / USUAL_TIME).exp());
        }
    }

    /// Learns from the figure of a serving task; returns what it tells.
    pub fn observe(&mut self, task: &ServingTask, work: &Work, now: Moment) -> Reading {
        let lowest = self.lowest.entry(task.image.clone()).or_insert(f64::MAX);
        *lowest = lowest.min(task.tail_ms);
        let last = self.last.remove(&task.task);
        let before = last.as_ref().map(|l| (l.sample, now.since(l.at)));
        let reading = sample::read(task.tail_ms, before, self.idle(task));
        let unseen = last.map_or(0.0, |l| self.changed(&task.image, &l.work, work));
        let (load, slope) = self.parts_of(task.task);
        let mut parts = vec![(load, 1.0)];
        for (best_effort, tasks) in work {
            parts.push((self.part_of_pair(&task.image, best_effort), *tasks));
        }
        let error = reading.used - self.filter.expected(&parts);
        if error > 0.0 || reading.used < SATURATED {
            let unseen = CHANGE_NOISE * unseen;
            let noise = reading.variance + unseen * unseen;
            self.filter.correct(&parts, error, noise);
            self.bound(load, slope);
            for (at, _) in &parts[1..] {
                self.filter.clamp(*at, 0.0, MAX_INTERFERENCE);
            }
        }
        let newest = Last {
            sample: task.tail_ms,
            at: now,
            work: work.clone(),
        };
        self.last.insert(task.task, newest);
        reading
    }

    /// Load of a serving task now.
    pub fn load(&self, task: TaskKey) -> f64 {
        let load = self.filter.get(&Part::Load(task));
        load.unwrap_or(UNKNOWN_LOAD).mean
    }

    /// The highest load that is expected within `time`.
    pub fn load_ahead(&self, task: TaskKey, time: Duration) -> f64 {
        let slope = self.filter.get(&Part::Slope(task));
        let slope = slope.unwrap_or(UNKNOWN_SLOPE).mean;
        self.load(task) + slope.max(0.0) * time.as_secs_f64()
    }

    /// Average load of a serving task over some seconds.
    pub fn usual_load(&self, task: TaskKey) -> f64 {
        self.usual.get(&task).copied().unwrap_or(UNKNOWN_LOAD.mean)
    }

    /// What one filling task adds to the use of a serving one.
    pub fn pair(&self, serving: &str, best_effort: &str) -> Estimate {
        let pair = (serving.to_owned(), best_effort.to_owned());
        let apart = self.apart.get(&pair).copied();
        let followed = || self.filter.get(&Part::Pair(pair));
        apart.or_else(followed).unwrap_or(UNKNOWN_PAIR)
    }

    /// Whether a pair rests on more than a guess.
    pub fn is_known(&self, serving: &str, best_effort: &str) -> bool {
        self.pair(serving, best_effort).variance < KNOWN_VARIANCE
    }

    /// The pairs that rest on figures of this worker.
    pub fn interference(&self) -> Vec<Interference> {
        let followed = self
            .filter
            .iter()
            .filter_map(|(part, estimate)| match part {
                Part::Pair(pair) => Some((pair, estimate)),
                Part::Load(_) | Part::Slope(_) => None,
            });
        let apart = self.apart.iter().map(|(pair, estimate)| (pair, *estimate));
        let learned = followed.chain(apart).filter(|(pair, estimate)| {
            let told = self.told.contains(*pair);
            let most = if told {
                TOLD_VARIANCE / 2.0
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

    /// Tail latency of a serving task without any use.
    pub fn idle(&self, task: &ServingTask) -> f64 {
        let lowest = self.lowest.get(&task.image).copied();
        let idle = lowest.unwrap_or(task.tail_ms) * IDLE_SHARE;
        idle.min(task.target_ms * IDLE_LIMIT)
    }

    /// Drops tasks and pairs that are not there; estimates of pairs are kept.
    fn follow(&mut self, serving: &[ServingTask], work: &Work) {
        let is_served = |task: &TaskKey| serving.iter().any(|known| known.task == *task);
        let serves = |image: &String| serving.iter().any(|known| known.image == *image);
        self.last.retain(|task, _| is_served(task));
        self.usual.retain(|task, _| is_served(task));
        let dropped = self.filter.retain(|part| match part {
            Part::Load(task) | Part::Slope(task) => is_served(task),
            Part::Pair((serving, best_effort)) => serves(serving) && work.contains_key(best_effort),
        });
        for (part, estimate) in dropped {
            if let Part::Pair(pair) = part {
                self.apart.insert(pair, estimate);
            }
        }
    }

    fn parts_of(&mut self, task: TaskKey) -> (usize, usize) {
        let load = self.filter.place_or_add(Part::Load(task), UNKNOWN_LOAD);
        let slope = self.filter.place_or_add(Part::Slope(task), UNKNOWN_SLOPE);
        (load, slope)
    }

    fn part_of_pair(&mut self, serving: &str, best_effort: &str) -> usize {
        let pair = (serving.to_owned(), best_effort.to_owned());
        let first = self.apart.remove(&pair).unwrap_or(UNKNOWN_PAIR);
        self.filter.place_or_add(Part::Pair(pair), first)
    }

    fn bound(&mut self, load: usize, slope: usize) {
        self.filter.clamp(load, 0.0, LOAD_LIMIT);
        self.filter.clamp(slope, -SLOPE_LIMIT, SLOPE_LIMIT);
    }

    /// Use that changes of the work beside a serving image add or take away.
    fn changed(&self, serving: &str, last: &Work, now: &Work) -> f64 {
        let at = |work: &Work, image| work.get(image).copied().unwrap_or(0.0);
        let gone = last.keys().filter(|image| !now.contains_key(*image));
        let images = now.keys().chain(gone);
        images
            .map(|image| (at(now, image) - at(last, image)).abs() * self.pair(serving, image).mean)
            .sum()
    }
}

/// The images of serving tasks, each once.
fn images(serving: &[ServingTask]) -> Vec<String> {
    let mut images: Vec<String> = serving.iter().map(|task| task.image.clone()).collect();
    images.sort_unstable();
    images.dedup();
    images
}

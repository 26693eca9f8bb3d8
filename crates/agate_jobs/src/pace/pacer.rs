//! Sets the pace of best-effort tasks so that serving tasks stay within their latency targets.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use crate::pace::model::{InterferenceModel, Work};
use crate::pace::sample;
use crate::pace::violation::LatencyViolations;
use crate::pace::{BestEffortTask, Headroom, Interference, ServingTask, milli, percent};

/// Tail latency to aim for, as a share of the target.
const TARGET_SHARE: f64 = 0.93;

/// Time until the next change of pace takes effect, over which the load is predicted.
const LOOKAHEAD: Duration = Duration::from_millis(500);

/// Minimum share of full speed of one task of an unknown image, so that its interference can be
/// measured.
const PROBE_SHARE: f64 = 0.2;

/// Maximum number of reported pairs.
const MAX_REPORTED_PAIRS: usize = 64;

/// Learns the interference on a worker and plans the pace of its best-effort tasks.
#[derive(Debug, Default)]
pub struct Pacer {
    model: InterferenceModel,
    violations: LatencyViolations,
}

impl Pacer {
    /// Imports the interference of pairs that this worker doesn't know yet.
    pub fn import(&mut self, interference: &[Interference]) {
        self.model.import(interference);
    }

    /// Learns from one set of samples.
    pub fn observe(
        &mut self,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
        now: Moment,
    ) {
        let work = work(best_effort);
        self.model.advance(serving, &work, now);
        let mut tails = HashMap::new();
        for task in serving.iter().filter(|task| task.tail_ms > 0.0) {
            let measurement = self.model.observe(task, &work, now);
            tails.insert(task.task, measurement.tail_ms);
        }
        self.violations.observe(serving, &tails, best_effort, now);
    }

    /// Returns the pace of each best-effort task, in percent, that keeps every serving task within
    /// its target.
    pub fn plan(
        &self,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
        now: Moment,
    ) -> Vec<u32> {
        if self.violations.is_prolonged(now) {
            return vec![0; best_effort.len()];
        }
        let mut shares = vec![1.0; best_effort.len()];
        let affected = serving
            .iter()
            .filter(|s| !self.violations.is_self_caused(s.task));
        for task in affected {
            let load = self.model.predicted_load(task.task, LOOKAHEAD);
            let budget = (self.target_utilization(task) - load).max(0.0);
            self.throttle(task, best_effort, budget, &mut shares);
        }
        shares.into_iter().map(percent).collect()
    }

    /// Returns the utilization that each serving image leaves to best-effort tasks.
    pub fn headroom(&self, serving: &[ServingTask]) -> Vec<Headroom> {
        let mut rooms: Vec<Headroom> = Vec::new();
        for task in serving {
            let load = self.model.load(task.task);
            let load = load.max(self.model.average_load(task.task));
            let room = milli(self.target_utilization(task) - load);
            match rooms.iter_mut().find(|known| known.serving == task.image) {
                Some(known) => known.milli = known.milli.min(room),
                None => rooms.push(Headroom {
                    serving: task.image.clone(),
                    milli: room,
                }),
            }
        }
        rooms
    }

    /// Returns the interference learned from this worker's samples.
    pub fn interference(&self) -> Vec<Interference> {
        let mut pairs = self.model.interference();
        pairs.sort_by(|a, b| (&a.serving, &a.best_effort).cmp(&(&b.serving, &b.best_effort)));
        pairs.truncate(MAX_REPORTED_PAIRS);
        pairs
    }

    /// Slows the tasks with the most interference until the interference of all fits the `budget`.
    fn throttle(
        &self,
        task: &ServingTask,
        best_effort: &[BestEffortTask],
        budget: f64,
        shares: &mut [f64],
    ) {
        let added: Vec<f64> = best_effort
            .iter()
            .map(|best_effort| {
                self.model
                    .pair_estimate(&task.image, &best_effort.image)
                    .mean
            })
            .collect();
        let mut order: Vec<usize> = (0..best_effort.len()).collect();
        order.sort_by(|a, b| added[*b].total_cmp(&added[*a]));
        let mut excess: f64 = order.iter().map(|at| added[*at] * shares[*at]).sum::<f64>() - budget;
        let mut probing = false;
        for at in order {
            if excess <= 0.0 {
                return;
            }
            let image = best_effort[at].image.as_str();
            let probes = !probing && !self.model.is_known(&task.image, image);
            let least = if probes { PROBE_SHARE } else { 0.0 };
            probing |= probes;
            let part = added[at] * (shares[at] - least).max(0.0);
            if part <= 0.0 {
                continue;
            }
            let cut = part.min(excess);
            shares[at] -= cut / added[at];
            excess -= cut;
        }
    }

    /// Returns the utilization at which the tail latency reaches [`TARGET_SHARE`] of its target.
    fn target_utilization(&self, task: &ServingTask) -> f64 {
        sample::utilization_at(task.target_ms * TARGET_SHARE, self.model.idle_tail_ms(task))
    }
}

/// Sums up the work of best-effort tasks by image.
fn work(best_effort: &[BestEffortTask]) -> Work {
    let mut work = Work::new();
    for task in best_effort {
        *work.entry(task.image.clone()).or_default() += task.share;
    }
    work
}

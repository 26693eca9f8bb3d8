//! Run times learned from the ends of runs.

use std::collections::{HashMap, VecDeque};

use crate::spec::StepSpec;
use crate::table::{Job, StepProgress};

/// Number of finished tasks that are remembered for each queue and image.
const REMEMBERED: usize = 33;

/// Number of pairs of queue and image that are remembered. The names come from callers, so their
/// number has no other bound.
const MAX_PAIRS: usize = 1_024;

/// Number of finished tasks from which on a median replaces the next wider one.
const MIN_SAMPLES: usize = 3;

/// Limits of a learned ratio. A ratio beyond them comes from an estimate of nearly zero.
const RATIO_RANGE: (f64, f64) = (0.02, 50.0);

/// Run time over estimate of recently finished tasks, by queue and image.
#[derive(Debug, Default)]
pub struct RunTimes(HashMap<(String, String), Recent>);

#[derive(Debug, Default)]
struct Recent {
    ratios: VecDeque<f64>,
    median: f64,
}

impl RunTimes {
    /// Records the run time of a finished task.
    pub fn record(&mut self, queue: &str, step: &StepSpec, ran_ms: u64) {
        let Some(ratio) = ratio(step, ran_ms) else {
            return;
        };
        let pair = (queue.to_owned(), step.image.clone());
        if self.0.len() >= MAX_PAIRS && !self.0.contains_key(&pair) {
            return;
        }
        let recent = self.0.entry(pair).or_default();
        if recent.ratios.len() == REMEMBERED {
            recent.ratios.pop_front();
        }
        recent.ratios.push_back(ratio);
        let mut ratios: Vec<f64> = recent.ratios.iter().copied().collect();
        recent.median = median(&mut ratios).unwrap_or(1.0);
    }

    /// Returns the expected run time of a task of each step of a job, in milliseconds.
    ///
    /// The ratio to the estimate is the median over the step's finished tasks; if they are few,
    /// over the job's, then over those of the queue and image; otherwise the estimate holds.
    pub fn expected_ms(&self, job: &Job) -> Vec<f64> {
        let Some(progress) = job.progress.first() else {
            return Vec::new();
        };
        let steps = job.spec.steps.iter().zip(progress);
        let mut by_step: Vec<Vec<f64>> = steps.map(|(spec, step)| ratios(spec, step)).collect();
        let mut of_job: Vec<f64> = by_step.iter().flatten().copied().collect();
        let by_job = median_of_enough(&mut of_job);
        let steps = job.spec.steps.iter().zip(&mut by_step);
        steps
            .map(|(spec, ratios)| {
                let learned = median_of_enough(ratios)
                    .or(by_job)
                    .or_else(|| self.of_image(&job.policy.queue, &spec.image));
                spec.estimate_ms.max(1) as f64 * learned.unwrap_or(1.0)
            })
            .collect()
    }

    fn of_image(&self, queue: &str, image: &str) -> Option<f64> {
        let recent = self.0.get(&(queue.to_owned(), image.to_owned()))?;
        (recent.ratios.len() >= MIN_SAMPLES).then_some(recent.median)
    }
}

/// Returns the median, or `None` if there are no values.
pub fn median(values: &mut [f64]) -> Option<f64> {
    if values.is_empty() {
        return None;
    }
    let middle = values.len() / 2;
    let (_, median, _) = values.select_nth_unstable_by(middle, f64::total_cmp);
    Some(*median)
}

fn median_of_enough(values: &mut [f64]) -> Option<f64> {
    if values.len() < MIN_SAMPLES {
        return None;
    }
    median(values)
}

fn ratios(spec: &StepSpec, step: &StepProgress) -> Vec<f64> {
    let done = step.tasks.iter().filter(|task| task.done);
    done.filter_map(|task| ratio(spec, task.ran_ms)).collect()
}

fn ratio(step: &StepSpec, ran_ms: u64) -> Option<f64> {
    if ran_ms == 0 || step.long_running || step.estimate_ms == 0 {
        return None;
    }
    let ratio = ran_ms as f64 / step.estimate_ms as f64;
    Some(ratio.clamp(RATIO_RANGE.0, RATIO_RANGE.1))
}

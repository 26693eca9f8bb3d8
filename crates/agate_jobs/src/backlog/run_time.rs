//! Run times learned from the ends of runs.

use std::collections::{HashMap, VecDeque};

use crate::spec::StepSpec;
use crate::table::{Job, StepProgress};

/// Number of steps that are remembered for each queue and image.
const REMEMBERED: usize = 33;

/// Number of pairs of queue and image that are remembered. The names come from callers, so their
/// number has no other bound.
const MAX_PAIRS: usize = 1_024;

/// Number of samples from which on a median is used.
const MIN_SAMPLES: usize = 3;

/// Limits of a learned ratio. A ratio beyond them comes from an estimate of nearly zero.
const RATIO_RANGE: (f64, f64) = (0.02, 50.0);

/// Least spread of a predictor, as a logarithm, so that a few equal samples aren't trusted blindly.
const MIN_SPREAD: f64 = 0.05;

/// Run times of recently observed steps, by queue and image, and by queue alone under an empty image.
#[derive(Debug, Default)]
pub struct RunTimes(HashMap<(String, String), Recent>);

/// Recently observed steps.
#[derive(Debug, Default)]
struct Recent {
    /// Logarithms of run time over estimate, and of the run time in milliseconds.
    samples: VecDeque<(f64, f64)>,
    /// Median and spread of each.
    ratio: (f64, f64),
    run_time: (f64, f64),
}

impl Recent {
    fn record(&mut self, ratio: f64, ran_ms: f64) {
        if self.samples.len() == REMEMBERED {
            self.samples.pop_front();
        }
        self.samples.push_back((ratio.ln(), ran_ms.ln()));
        self.ratio = center(self.samples.iter().map(|sample| sample.0));
        self.run_time = center(self.samples.iter().map(|sample| sample.1));
    }

    /// Returns the expected run time for an estimate: the corrected estimate and the usual run time,
    /// each weighted by how well it predicts.
    fn expected_ms(&self, estimate_ms: f64) -> f64 {
        let weight = |spread: f64| spread.max(MIN_SPREAD).powi(-2);
        let (ratio, ratio_spread) = self.ratio;
        let (usual, usual_spread) = self.run_time;
        let (of_estimate, of_usual) = (weight(ratio_spread), weight(usual_spread));
        let sum = of_estimate * (estimate_ms.ln() + ratio) + of_usual * usual;
        (sum / (of_estimate + of_usual)).exp()
    }
}

impl RunTimes {
    /// Records the run times of a step of which [`MIN_SAMPLES`] tasks have just finished. A step
    /// counts once, since its tasks share the error of their estimate.
    pub fn record(&mut self, queue: &str, spec: &StepSpec, step: &StepProgress) {
        let mut ratios = ratios(spec, step);
        if ratios.len() != MIN_SAMPLES.min(step.tasks.len()) {
            return;
        }
        let Some(ratio) = median(&mut ratios) else {
            return;
        };
        let ran_ms = (ratio * spec.estimate_ms as f64).max(1.0);
        for image in [spec.image.as_str(), ""] {
            let pair = (queue.to_owned(), image.to_owned());
            if self.0.len() < MAX_PAIRS || self.0.contains_key(&pair) {
                self.0.entry(pair).or_default().record(ratio, ran_ms);
            }
        }
    }

    /// Returns the expected run time of a task of each step of a job, in milliseconds.
    ///
    /// The ratio to the estimate is the median over the step's finished tasks. If they are few, the
    /// expectation is learned from the queue and image, or from the queue; otherwise from the job;
    /// otherwise the estimate holds.
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
                let estimate_ms = spec.estimate_ms.max(1) as f64;
                let by_step = median_of_enough(ratios).map(|ratio| ratio * estimate_ms);
                by_step
                    .or_else(|| self.usual_ms(&job.policy.queue, &spec.image, estimate_ms))
                    .unwrap_or_else(|| by_job.unwrap_or(1.0) * estimate_ms)
            })
            .collect()
    }

    fn usual_ms(&self, queue: &str, image: &str, estimate_ms: f64) -> Option<f64> {
        let recent = |image: &str| {
            let recent = self.0.get(&(queue.to_owned(), image.to_owned()))?;
            (recent.samples.len() >= MIN_SAMPLES).then_some(recent)
        };
        let recent = recent(image).or_else(|| recent(""))?;
        Some(recent.expected_ms(estimate_ms))
    }
}

/// Returns the median of some values and their median distance from it.
fn center(values: impl Iterator<Item = f64>) -> (f64, f64) {
    let mut values: Vec<f64> = values.collect();
    let center = median(&mut values).unwrap_or(0.0);
    let mut distances: Vec<f64> = values.iter().map(|value| (value - center).abs()).collect();
    (center, median(&mut distances).unwrap_or(0.0))
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

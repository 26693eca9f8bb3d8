//! Load of best-effort jobs relative to the capacity that the serving tasks leave.

use std::time::Duration;

use agate_core::{Moment, Resources};
use agate_jobs::{Order, Record, StepSpec, TaskKey};
use rand::Rng as _;
use rand::rngs::StdRng;

use super::scenario::{BEST_EFFORT_IMAGES, fraction, submission};

/// Time between the starts of two bursts.
const BURST_PERIOD: Duration = Duration::from_secs(20);

/// Length of a burst.
const BURST: Duration = Duration::from_secs(6);

/// Arrivals in a burst, relative to those outside.
const BURST_FACTOR: f64 = 2.4;

/// Mean number of tasks of a job.
const TASKS_PER_JOB: f64 = 40.0;

/// Mean run time of a task at full speed, in seconds.
const TASK_S: f64 = 1.7;

/// Largest relative error of an estimate.
const ESTIMATE_ERROR: f64 = 0.9;

/// Share of runs that fail.
const FAILURE_SHARE: f64 = 0.05;

/// Share of tasks that run [`LONG_FACTOR`] times as long.
const LONG_SHARE: f64 = 0.002;

/// Run time of a long task, relative to the others of its step.
const LONG_FACTOR: f64 = 7.0;

/// Load of best-effort jobs.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Load {
    /// That of the large deployment.
    Standard,
    /// Narrow jobs with short tasks, at a multiple of a number of runs that are active at once, in
    /// bursts.
    Backlog {
        /// Mean work that arrives, in milliseconds at full speed per millisecond.
        runs: f64,
    },
}

/// What a run does, unknown to the scheduler.
#[derive(Debug, Clone, Copy)]
pub(super) struct Fate {
    /// Run time of the task at full speed, relative to its estimate.
    pub(super) ratio: f64,
    /// Share of the work that is left after which the run fails.
    pub(super) fails_after: Option<f64>,
}

impl Fate {
    /// The run takes as long as estimated.
    pub(super) const AS_ESTIMATED: Self = Self {
        ratio: 1.0,
        fails_after: None,
    };

    /// Returns the outcome of a run whose task takes `ratio` times its estimate. It depends only on the
    /// seed, the task and the run, so that all orders play the same load.
    pub(super) fn draw(seed: u64, order: &Order, ratio: f64) -> Self {
        let (task, run) = (order.task.to_string(), order.run.to_string());
        let fails = fraction(seed, &["fails", &task, &run]) < FAILURE_SHARE;
        Self {
            ratio: ratio * length_factor(seed, order.task),
            fails_after: fails.then(|| fraction(seed, &["fails after", &task, &run])),
        }
    }
}

/// Returns the factor on the run time of a task.
pub(super) fn length_factor(seed: u64, task: TaskKey) -> f64 {
    if fraction(seed, &["long", &task.to_string()]) < LONG_SHARE {
        LONG_FACTOR
    } else {
        1.0
    }
}

/// Returns the expected number of jobs per second.
pub(super) fn jobs_per_s(runs: f64, now: Moment) -> f64 {
    let mean = runs / (TASKS_PER_JOB * TASK_S);
    let burst_share = BURST.as_secs_f64() / BURST_PERIOD.as_secs_f64();
    let quiet = mean / (1.0 + burst_share * (BURST_FACTOR - 1.0));
    let at = now.since(Moment::ZERO).as_millis() % BURST_PERIOD.as_millis();
    let is_quiet = at < BURST_PERIOD.saturating_sub(BURST).as_millis();
    if is_quiet {
        quiet
    } else {
        quiet * BURST_FACTOR
    }
}

/// Returns a job of two steps, one after the other, and the run time of each step's tasks relative
/// to its estimate.
pub(super) fn backlog_job(id: u64, now_ms: u64, rng: &mut StdRng) -> (Record, Vec<f64>) {
    let image = format!("fills-{}", rng.random_range(0..BEST_EFFORT_IMAGES));
    let (mut steps, mut ratios) = (Vec::new(), Vec::new());
    for step in 0..2 {
        let estimate_factor = rng.random_range(1.0 - ESTIMATE_ERROR..1.0 + ESTIMATE_ERROR);
        let run_time_s = rng.random_range(0.5..1.5) * TASK_S;
        let estimate = Duration::from_secs_f64(run_time_s * estimate_factor);
        ratios.push(1.0 / estimate_factor);
        steps.push(StepSpec {
            tasks: width(rng),
            demand: Resources::new(rng.random_range(1_200..=2_400), 3_000, 0),
            estimate_ms: u64::try_from(estimate.as_millis())
                .unwrap_or(u64::MAX)
                .max(1),
            after: (0..step).collect(),
            checkpoints: true,
            best_effort: true,
            image: image.clone(),
            ..StepSpec::default()
        });
    }
    (submission(id, steps, 2, now_ms), ratios)
}

/// Returns the number of tasks of a step, 20 on average and 80 at most.
fn width(rng: &mut StdRng) -> u32 {
    if rng.random_bool(0.1) {
        rng.random_range(40..=80)
    } else {
        rng.random_range(4..=27)
    }
}

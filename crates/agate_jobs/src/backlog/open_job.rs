//! The view of an open job that a plan is made from.

use agate_core::JobId;

use crate::backlog::RunTimes;
use crate::table::Job;

/// Multiple of its objective after which a job counts as missed.
pub(crate) const LATE_FACTOR: u64 = 3;

/// Multiple of the late limit after which a job goes first.
const WAITING_FACTOR: u64 = 4;

/// Share of its run time that a bound task still needs on average.
const BOUND_SHARE: f64 = 0.5;

/// Least share of its run time that a returned task still needs.
const MIN_RESUMED_SHARE: f64 = 0.2;

/// Run time of the slowest task of a step, relative to the median one.
const STEP_FACTOR: f64 = 1.5;

/// Time of a step that isn't run time: orders, ends, and a second run of some task, in milliseconds.
const STEP_DELAY_MS: f64 = 500.0;

/// An open best-effort job. Times are in milliseconds, points in time on the wall clock.
#[derive(Debug, Clone, PartialEq)]
pub struct OpenJob<'a> {
    /// The job.
    pub id: JobId,
    /// Name of its queue.
    pub queue: &'a str,
    /// Time of acceptance.
    pub at_ms: u64,
    /// Time within which the job should finish.
    pub allowed_ms: u64,
    /// Expected run time of all tasks together.
    pub work_ms: f64,
    /// Part of the work that is left.
    pub left_ms: f64,
    /// Part of the work left that is ready to run and not bound.
    pub ready_ms: f64,
    /// Expected run time of the unfinished steps, one after the other.
    pub path_ms: f64,
    /// Whether a task has started.
    pub begun: bool,
}

impl<'a> OpenJob<'a> {
    /// Returns the view of a job that doesn't repeat and has `bound` bound tasks.
    pub fn new(id: JobId, job: &'a Job, run_times: &RunTimes, bound: usize) -> Self {
        let expected_ms = run_times.expected_ms(job);
        let (mut work_ms, mut left_ms, mut bound_ms, mut ready_ms) = (0.0, 0.0, 0.0, 0.0);
        let mut open = Vec::with_capacity(expected_ms.len());
        let steps = job.progress.first().map_or(&[][..], Vec::as_slice);
        for (at, (step, each_ms)) in steps.iter().zip(&expected_ms).enumerate() {
            work_ms += each_ms * step.tasks.len() as f64;
            open.push(!step.is_done());
            if step.is_done() {
                continue;
            }
            let tasks = step.tasks.iter().filter(|task| !task.done);
            let step_ms = tasks
                .map(|task| (each_ms - task.ran_ms as f64).max(MIN_RESUMED_SHARE * each_ms))
                .sum::<f64>();
            left_ms += step_ms;
            if job.is_ready(0, at) {
                ready_ms += (step_ms - bound as f64 * each_ms).max(0.0);
                bound_ms = bound as f64 * each_ms * (1.0 - BOUND_SHARE);
            }
        }
        let path_ms = job.spec.longest_path(0.0, |at| {
            let is_open = open.get(at).copied().unwrap_or(false);
            if is_open {
                expected_ms[at] * STEP_FACTOR + STEP_DELAY_MS
            } else {
                0.0
            }
        });
        Self {
            id,
            queue: &job.policy.queue,
            at_ms: job.at_ms,
            allowed_ms: job.allowed_ms(),
            work_ms,
            left_ms: (left_ms - bound_ms).max(0.0),
            ready_ms,
            path_ms,
            begun: job.started || bound > 0,
        }
    }

    /// Returns the time by which the job should finish.
    pub const fn objective_ms(&self) -> u64 {
        self.at_ms.saturating_add(self.allowed_ms)
    }

    /// Returns the time after which the job counts as missed.
    pub const fn late_ms(&self) -> u64 {
        let allowed_ms = self.allowed_ms.saturating_mul(LATE_FACTOR);
        self.at_ms.saturating_add(allowed_ms)
    }

    /// Returns whether the job goes first because it has waited for long. A job that can never
    /// finish would stay first, so it is first for one waiting bound of every two.
    pub fn is_overdue(&self, wall_ms: u64) -> bool {
        let bound_ms = self.allowed_ms.saturating_mul(LATE_FACTOR * WAITING_FACTOR);
        let waited_ms = wall_ms.saturating_sub(self.at_ms);
        waited_ms / bound_ms.max(1) % 2 == 1
    }
}

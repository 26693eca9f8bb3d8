//! What operators learn about a plan.

use std::collections::BTreeMap;

use agate_core::JobId;

use crate::backlog::{OpenJob, Standing};

/// Largest number of changes that are reported per plan.
const MAX_CHANGES: usize = 2;

/// Summary of the newest plan, and what has happened since the last summary was taken.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Summary {
    /// Jobs of each queue and class.
    pub jobs: BTreeMap<(String, Standing), u32>,
    /// Expected run time of the work left, by queue, in milliseconds.
    pub left_ms: BTreeMap<String, f64>,
    /// Changes of class, [`MAX_CHANGES`] per plan at most.
    pub changes: Vec<StandingChange>,
    /// Number of changes that are not reported.
    pub more_changes: usize,
    /// Actual less predicted end of the jobs that have finished, in milliseconds.
    pub end_errors_ms: Vec<f64>,
}

/// A job was selected or postponed, or has passed its waiting bound.
#[derive(Debug, Clone, PartialEq)]
pub struct StandingChange {
    /// The job.
    pub job: JobId,
    /// Name of its queue.
    pub queue: String,
    /// Its new class.
    pub standing: Standing,
    /// Expected run time of its work left, in milliseconds.
    pub left_ms: f64,
    /// Time left until its objective, in milliseconds; negative after it.
    pub until_objective_ms: i64,
}

impl Summary {
    pub(super) fn begin_plan(&mut self) {
        self.jobs.clear();
        self.left_ms.clear();
    }

    pub(super) fn add_job(&mut self, job: &OpenJob<'_>, standing: Standing) {
        let key = (job.queue.to_owned(), standing);
        *self.jobs.entry(key).or_default() += 1;
        *self.left_ms.entry(job.queue.to_owned()).or_default() += job.left_ms;
    }

    pub(super) fn add_change(&mut self, job: &OpenJob<'_>, standing: Standing, wall_ms: u64) {
        if self.changes.len() >= MAX_CHANGES {
            self.more_changes += 1;
            return;
        }
        let signed = |ms: u64| i64::try_from(ms).unwrap_or(i64::MAX);
        self.changes.push(StandingChange {
            job: job.id,
            queue: job.queue.to_owned(),
            standing,
            left_ms: job.left_ms,
            until_objective_ms: signed(job.objective_ms()).saturating_sub(signed(wall_ms)),
        });
    }

    /// Returns the summary and forgets what has happened.
    pub(super) fn take(&mut self) -> Self {
        let taken = self.clone();
        self.changes.clear();
        self.more_changes = 0;
        self.end_errors_ms.clear();
        taken
    }
}

//! Records of runs, tasks and jobs.

use agate_core::{Moment, Resources};

use crate::queue::JobKey;
use crate::workers::WorkerKey;
use crate::{ClassKey, TeamKey};

/// Share of its processors that a throttled run counts for.
pub(super) const THROTTLED_SHARE: f64 = 0.3;

/// The step in effect against a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Restraint {
    /// No step is in effect.
    Free,
    /// The run is slowed down.
    Throttled,
    /// The run is being checkpointed since this time and will then end.
    Evicting(Moment),
}

/// A run that holds resources on a worker.
#[derive(Debug)]
pub(super) struct Run {
    /// The job, if it is queued here.
    pub(super) job: Option<JobKey>,
    pub(super) team: TeamKey,
    pub(super) class: ClassKey,
    pub(super) worker: WorkerKey,
    pub(super) declared: Resources,
    pub(super) demand: Resources,
    /// Time of the start or of the last checkpoint.
    pub(super) last_checkpoint: Moment,
    pub(super) restraint: Restraint,
    pub(super) peak: Resources,
    /// Share in the worker's mix.
    pub(super) share: f64,
}

/// Failures, evictions and out-of-memory runs of a task.
#[derive(Debug, Default)]
pub(super) struct TaskHistory {
    /// Minimum size of the next run.
    pub(super) floor: Resources,
    pub(super) failed_on: Vec<WorkerKey>,
    pub(super) failures: u32,
    pub(super) evictions: u32,
}

/// Out-of-memory record of a job.
#[derive(Debug, Default)]
pub(super) struct OomHistory {
    /// Minimum size of the next runs of its tasks.
    pub(super) floor: Resources,
    pub(super) exhausted: u32,
    pub(super) finished: u32,
}

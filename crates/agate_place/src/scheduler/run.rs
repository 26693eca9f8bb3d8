//! Runs and tasks as the scheduler remembers them.

use agate_core::{Moment, Resources};

use crate::queue::JobKey;
use crate::workers::WorkerKey;
use crate::{ClassKey, TeamKey};

/// What a throttled run counts for, as a share of its processors.
pub(super) const THROTTLED_SHARE: f64 = 0.3;

/// How far a step against a run has gone.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Restraint {
    /// None is in force.
    Free,
    /// It is slowed down.
    Throttled,
    /// It is being checkpointed since this moment, and then ends.
    Evicting(Moment),
}

/// A run that holds room on a worker.
#[derive(Debug)]
pub(super) struct Run {
    /// The job, if its tasks are queued here.
    pub(super) job: Option<JobKey>,
    pub(super) team: TeamKey,
    pub(super) class: ClassKey,
    pub(super) worker: WorkerKey,
    pub(super) declared: Resources,
    pub(super) demand: Resources,
    /// When it was started, or last saved.
    pub(super) saved: Moment,
    pub(super) restraint: Restraint,
    pub(super) peak: Resources,
    /// What it counts for in the worker's mix.
    pub(super) share: f64,
}

/// What is remembered of a task whose runs went wrong.
#[derive(Debug, Default)]
pub(super) struct Trouble {
    /// What its next run gets at least.
    pub(super) floor: Resources,
    pub(super) failed_on: Vec<WorkerKey>,
    pub(super) failures: u32,
    pub(super) evictions: u32,
}

/// What is remembered of a job some of whose runs ran out of memory.
#[derive(Debug, Default)]
pub(super) struct Growth {
    /// What the next runs of its tasks get at least.
    pub(super) floor: Resources,
    pub(super) exhausted: u32,
    pub(super) finished: u32,
}

//! Input and output types of the scheduler.

use std::time::Duration;

use agate_core::{ClassName, Incarnation, JobId, Moment, Resources, Tag, TaskId, TeamName};
use displaydoc::Display;

use crate::eviction::StepKind;
use crate::impossible::Reason;

/// What a withdrawal applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash)]
pub enum Selector {
    /// All work of a class.
    Class(ClassName),
    /// All work with a tag.
    Tag(Tag),
}

/// A worker that has announced itself.
#[derive(Debug, Clone, Copy)]
pub struct WorkerSpec {
    /// The incarnation of the agent that runs the worker.
    pub id: Incarnation,
    /// Capacity for batch work.
    pub capacity: Resources,
}

/// A task to start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The worker, by the incarnation of its agent.
    pub worker: Incarnation,
    /// Resources allocated to the task.
    pub demand: Resources,
}

/// A run that another process placed or that was read from the log.
#[derive(Debug, Clone)]
pub struct AdoptedRun {
    /// The task.
    pub task: TaskId,
    /// The worker, by the incarnation of its agent.
    pub worker: Incarnation,
    /// Resources allocated to the task.
    pub demand: Resources,
    /// Resources that the submitter declared.
    pub declared: Resources,
    /// Its team.
    pub team: TeamName,
    /// Its class.
    pub class: ClassName,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunOutcome {
    /// The task is finished.
    Finished,
    /// The task itself failed.
    Failed,
    /// The run ran out of memory.
    Exhausted,
    /// The run was checkpointed and evicted.
    Evicted,
    /// The run ended without a new checkpoint.
    Stopped,
    /// The run never started.
    NotStarted,
    /// The worker was lost.
    Lost,
}

/// What happens to a task after its run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It is finished.
    Done,
    /// It runs again, but not before this time.
    Retry(Moment),
    /// It is given up; see [`crate::Scheduler::take_given_up`] for the reason.
    GivenUp,
    /// The run is unknown, or its job is no longer queued here.
    Unknown,
}

/// Work that will never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp {
    /// The job.
    pub job: JobId,
    /// The task, or `None` if the whole job is given up.
    pub task: Option<TaskId>,
    /// Why it is given up.
    pub reason: GiveUpReason,
}

/// Why work is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum GiveUpReason {
    /// {0}
    Impossible(Reason),
    /// it failed on {workers} sound workers, on which other work succeeds
    FailsEverywhere {
        /// Number of workers.
        workers: u32,
    },
}

/// An action against a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The task.
    pub task: TaskId,
    /// The worker, by the incarnation of its agent.
    pub worker: Incarnation,
    /// The action.
    pub kind: StepKind,
}

/// A lagging slowdown reading of urgent work on a worker.
#[derive(Debug, Clone)]
pub struct UrgentReading {
    /// The worker, by the incarnation of its agent.
    pub worker: Incarnation,
    /// The urgent class.
    pub class: ClassName,
    /// Age of the reading.
    pub age: Duration,
    /// Slowdown relative to the class alone on an idle machine, in percent.
    pub slowdown_percent: u32,
    /// Share of the machine's slots in use, in percent.
    pub load_percent: u32,
}

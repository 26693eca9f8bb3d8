//! What the scheduler is told and what it answers.

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

/// A worker that was announced.
#[derive(Debug, Clone, Copy)]
pub struct WorkerSpec {
    /// The start of the agent that owns it.
    pub id: Incarnation,
    /// What it has for batch work.
    pub capacity: Resources,
}

/// A task that is to be started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The task.
    pub task: TaskId,
    /// The worker, by the start of its agent.
    pub worker: Incarnation,
    /// What is set aside for it.
    pub demand: Resources,
}

/// A run that another process placed, or that this one knows from the log.
#[derive(Debug, Clone)]
pub struct AdoptedRun {
    /// The task.
    pub task: TaskId,
    /// The worker, by the start of its agent.
    pub worker: Incarnation,
    /// What is set aside for it.
    pub demand: Resources,
    /// What the submitter declared.
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
    /// The task failed by itself.
    Failed,
    /// The run ran out of memory.
    Exhausted,
    /// The run was checkpointed and evicted.
    Evicted,
    /// The run was ended without a new checkpoint.
    Stopped,
    /// The run never started.
    NotStarted,
    /// The worker was lost.
    Lost,
}

/// What becomes of a task after its run has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Disposition {
    /// It is finished.
    Done,
    /// It runs again, not before this moment.
    Retry(Moment),
    /// It is given up; [`crate::Scheduler::take_given_up`] tells why.
    GivenUp,
    /// The run wasn't known, or its job is no longer here.
    Unknown,
}

/// Work that will never run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GivenUp {
    /// The job.
    pub job: JobId,
    /// The task, if only one task is given up and not the whole job.
    pub task: Option<TaskId>,
    /// Why.
    pub reason: GiveUpReason,
}

/// Why work is given up.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum GiveUpReason {
    /// {0}
    Impossible(Reason),
    /// it failed on {workers} sound workers, on which other work succeeds
    FailsEverywhere {
        /// The workers.
        workers: u32,
    },
}

/// Something that is done to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Step {
    /// The task.
    pub task: TaskId,
    /// The worker, by the start of its agent.
    pub worker: Incarnation,
    /// What is done.
    pub kind: StepKind,
}

/// A lagging reading of how urgent work fares on a worker.
#[derive(Debug, Clone)]
pub struct UrgentReading {
    /// The worker, by the start of its agent.
    pub worker: Incarnation,
    /// The urgent class.
    pub class: ClassName,
    /// Age of the reading.
    pub age: Duration,
    /// Slowdown against the class alone on an idle machine, in percent.
    pub slowdown_percent: u32,
    /// Share of the machine's slots in use, in percent.
    pub load_percent: u32,
}

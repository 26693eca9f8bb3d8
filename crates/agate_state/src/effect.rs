//! Effects of records on the state.

use agate_core::{Findings, Incarnation, JobId, Position, Resources, RunId, TaskId, Version};
use agate_wire::message::{Selector, StopMode};
use displaydoc::Display;
use strum::{EnumIter, IntoStaticStr};

/// Effect of one record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// The record changed the state; the changes are in order.
    Applied(Vec<Event>),
    /// The record has no effect, for this reason.
    Rejected(RejectReason),
    /// The state already contained what the record says.
    Duplicate,
}

/// Effect of one batch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchEffect {
    /// The records were folded, with these effects.
    Folded(Vec<RecordEffect>),
    /// A batch with the same id is earlier in the log, so this one has no effect.
    Duplicate,
    /// The state has already folded this offset.
    AlreadyFolded,
}

/// Effect of the record at a position.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordEffect {
    /// Position of the record.
    pub position: Position,
    /// Effect of the record.
    pub effect: Effect,
}

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Event {
    /// A preset was published.
    PresetPublished {
        /// Name of the preset.
        name: String,
    },
    /// A preset came into force.
    PresetSwitched {
        /// Version of the switch.
        version: Version,
    },
    /// A class or tag was withdrawn.
    Withdrawn {
        /// The class or tag.
        selector: Selector,
        /// How running work is stopped.
        mode: StopMode,
        /// Version of the withdrawal.
        version: Version,
    },
    /// A class or tag was resumed.
    Resumed {
        /// The class or tag.
        selector: Selector,
    },
    /// A job was accepted. All its tasks are runnable.
    JobOpened {
        /// The job.
        job: JobId,
        /// Number of tasks.
        tasks: u32,
    },
    /// A job was cancelled. Its bound runs must be stopped; its other tasks have ended.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// The last task of a job ended.
    JobEnded {
        /// The job.
        job: JobId,
    },
    /// A run was bound, so its task is no longer runnable.
    RunBound {
        /// The run.
        run: RunId,
        /// The holder.
        incarnation: Incarnation,
        /// Resources reserved by the holder.
        demand: Resources,
    },
    /// A bound run ended. The next event says whether the task is runnable again or ended.
    RunEnded {
        /// The run.
        run: RunId,
        /// The former holder.
        incarnation: Incarnation,
    },
    /// A task is runnable again.
    TaskRunnable {
        /// The task.
        task: TaskId,
    },
    /// A task ended permanently.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// How it ended.
        end: TaskEnd,
    },
    /// A member was declared lost. Its runs stay bound until their ends are recorded.
    MemberLost {
        /// The member.
        incarnation: Incarnation,
    },
}

/// How a task ended permanently.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    EnumIter,
    IntoStaticStr,
    strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum TaskEnd {
    /// The task finished.
    Finished,
    /// The task failed as often as the preset in force allows.
    Failed,
    /// The task can never run.
    Impossible,
    /// The job was cancelled.
    Cancelled,
}

/// Why a record has no effect.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RejectReason {
    /// the preset document is invalid: {0}
    BadPreset(Findings),
    /// as many presets are published as the limit allows; publish under a name in use
    TooManyPresets,
    /// no preset with this name is published
    UnknownPreset,
    /// another switch came first: preset {name:?} is in force since {version}
    NotInForce {
        /// Name of the preset in force; empty if there is none.
        name: String,
        /// Version of the switch that put it in force.
        version: Version,
    },
    /// as many withdrawals are in force as the limit allows; resume one first
    TooManyWithdrawals,
    /// neither the class nor the tag is withdrawn
    NotWithdrawn,
    /// no such job is open
    NoSuchJob,
    /// the job has no task with this index
    NoSuchTask,
    /// the job is cancelled
    JobCancelled,
    /// the task has ended
    TaskEnded,
    /// the task is withdrawn since {version}
    Withdrawn {
        /// Version of the withdrawal.
        version: Version,
    },
    /// the task is bound to {incarnation} as epoch {epoch}
    AlreadyBound {
        /// Epoch of the bound run.
        epoch: u32,
        /// The holder.
        incarnation: Incarnation,
    },
    /// the last epoch of the task is {last}
    WrongEpoch {
        /// The last epoch.
        last: u32,
    },
    /// the incarnation was recorded as lost
    HolderLost,
    /// the run is held by {incarnation}
    WrongHolder {
        /// The holder.
        incarnation: Incarnation,
    },
    /// the task has no bound run
    NotBound,
    /// this kind of record belongs to another stream
    WrongStream,
}

//! What a record does to the state.

use agate_core::{Findings, Incarnation, JobId, Position, Resources, RunId, TaskId, Version};
use agate_wire::message::{Selector, StopMode};
use displaydoc::Display;
use strum::{EnumIter, IntoStaticStr};

/// What one record did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Effect {
    /// It counted; these are the changes in order.
    Applied(Vec<Event>),
    /// It does not count.
    Rejected(RejectReason),
    /// It says what the state already held.
    Duplicate,
}

/// What one batch did.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum BatchEffect {
    /// Its records were folded, with these effects.
    Folded(Vec<RecordEffect>),
    /// A batch with the same id stands earlier in the log, so it counts for nothing.
    Duplicate,
    /// The state has already folded this place in the log.
    AlreadyFolded,
}

/// The effect of a record at its place.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecordEffect {
    /// The place.
    pub position: Position,
    /// The effect.
    pub effect: Effect,
}

/// One change of the state.
#[derive(Debug, Clone, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Event {
    /// A preset was published under this name.
    PresetPublished {
        /// The name.
        name: String,
    },
    /// A preset was put in force.
    PresetSwitched {
        /// The version in force.
        version: Version,
    },
    /// A class or tag was withdrawn.
    Withdrawn {
        /// The class or tag.
        selector: Selector,
        /// What happens to running work.
        mode: StopMode,
        /// The version of the withdrawal.
        version: Version,
    },
    /// A class or tag was resumed.
    Resumed {
        /// The class or tag.
        selector: Selector,
    },
    /// A job was accepted; each of its tasks is runnable.
    JobOpened {
        /// The job.
        job: JobId,
        /// Number of its tasks.
        tasks: u32,
    },
    /// A job was cancelled. Its bound runs are to be stopped; its other tasks have ended.
    JobCancelled {
        /// The job.
        job: JobId,
    },
    /// The last task of a job ended.
    JobEnded {
        /// The job.
        job: JobId,
    },
    /// A run was bound, so its task is not runnable.
    RunBound {
        /// The run.
        run: RunId,
        /// Its holder.
        incarnation: Incarnation,
        /// What the holder sets aside.
        demand: Resources,
    },
    /// A bound run ended. What became of the task follows as the next event.
    RunEnded {
        /// The run.
        run: RunId,
        /// Its former holder.
        incarnation: Incarnation,
    },
    /// A task is runnable again.
    TaskRunnable {
        /// The task.
        task: TaskId,
    },
    /// A task ended for good.
    TaskEnded {
        /// The task.
        task: TaskId,
        /// How.
        end: TaskEnd,
    },
    /// A member was given up as lost. Its runs stay bound until their ends are recorded.
    MemberLost {
        /// The member.
        incarnation: Incarnation,
    },
}

/// How a task ended for good.
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
    /// It finished.
    Finished,
    /// It failed as often as the preset in force allows.
    Failed,
    /// It can never run.
    Impossible,
    /// Its job was cancelled.
    Cancelled,
}

/// Why a record does not count.
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
        /// The preset in force; empty if there is none.
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
        /// Its holder.
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

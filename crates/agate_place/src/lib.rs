//! Scheduling of batch work: which task runs next, on which worker, with how many resources, and
//! how it is throttled or evicted when it slows urgent work.
//!
//! Nothing here does I/O or reads a clock; [`agate_core::Moment`] and randomness are passed in.
//! Each module works on its own; [`Scheduler`] combines them.

mod amount;
pub mod blame;
pub mod choose;
pub mod decision;
pub mod eviction;
mod hash;
pub mod impossible;
pub mod interference;
mod interner;
pub mod queue;
pub mod scheduler;
pub mod sizing;
pub mod workers;

pub use decision::Decision;
pub use interner::{ClassKey, TeamKey};
pub use scheduler::{
    AdoptedRun, Disposition, GiveUpReason, GivenUp, JobSpec, Placement, Policy, RunOutcome,
    Scheduler, Selector, Step, StepKind, UrgentReading, ViewState, WorkerSpec,
};

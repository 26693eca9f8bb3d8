//! Decisions on batch work: which task runs next, on which worker, with how much, and what is done
//! when it slows urgent work.
//!
//! Nothing here does I/O or reads a clock; [`agate_core::Moment`] and randomness are passed in. The
//! parts are usable alone; [`Scheduler`] ties them together.

mod amount;
pub mod blame;
pub mod choose;
pub mod decision;
pub mod eviction;
mod hash;
pub mod impossible;
pub mod interference;
mod names;
pub mod queue;
pub mod scheduler;
pub mod sizing;
pub mod workers;

pub use decision::Decision;
pub use names::{ClassKey, TeamKey};
pub use scheduler::{
    AdoptedRun, Disposition, GiveUpReason, GivenUp, JobSpec, Placement, Policy, RunOutcome,
    Scheduler, Selector, Step, StepKind, UrgentReading, ViewState, WorkerSpec,
};

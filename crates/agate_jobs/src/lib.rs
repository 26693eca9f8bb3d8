//! Job records, the state folded from them, and the scheduler that places tasks on workers.
//!
//! This crate performs no I/O and reads no clock.

pub mod backlog;
pub mod crash;
pub mod lease;
mod loss;
pub mod pace;
pub mod plan;
pub mod record;
pub mod route;
pub mod spec;
pub mod table;
mod task;
pub mod validity;
mod worker;
pub mod zones;

pub use backlog::BatchOrder;
pub use loss::LossReason;
pub use record::{
    Body, EndCause, LeaderHeartbeat, Order, OrderKind, Record, RecordError, RunEnd, Suspect,
    SuspicionRecord,
};
pub use route::{Route, RouteTable};
pub use spec::{JobSpec, QueuePolicy, Repeat, StepSpec};
pub use table::{JobState, JobTable};
pub use task::{TaskKey, TaskKeyError};
pub use validity::Invalid;
pub use worker::{
    AgentState, StartBlock, UnstartedRun, WorkerIncarnation, WorkerReport, WorkerState,
};

//! Jobs made of steps: their records, the state folded from them, and the placement of their tasks.
//!
//! Nothing here does I/O or reads a clock.

pub mod lease;
pub mod pace;
pub mod plan;
pub mod record;
pub mod route;
pub mod spec;
pub mod table;
mod task;
mod worker;

pub use record::{
    Body, EndCause, LeaderHeartbeat, Order, OrderKind, Record, RecordError, RunEnd, SuspicionRecord,
};
pub use route::{Route, RouteTable};
pub use spec::{JobSpec, QueuePolicy, Repeat, StepSpec};
pub use table::{JobState, JobTable};
pub use task::{TaskKey, TaskKeyError};
pub use worker::{WorkerIncarnation, WorkerReport, WorkerState};

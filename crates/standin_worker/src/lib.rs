//! Stand-in for the platform's API on a worker, for tests and the demo only.
//!
//! It runs tasks under leases on the boot clock, pauses a task when its lease expires, reports
//! usage with a lag, checkpoints, throttles and stops tasks, injects faults on request, and records
//! what actually ran, so that tests can check the scheduler's reports against it.

mod api;
mod engine;
mod fault;
mod record;
mod serve;
mod settings;
mod task;

pub use fault::Fault;
pub use record::{Interval, RanTask, WorkerRecord};
pub use serve::{Config, Handle, ServeError, serve};
pub use settings::{PROGRAM, WorkerSetting, config};
pub use task::{Payload, TaskStatus};

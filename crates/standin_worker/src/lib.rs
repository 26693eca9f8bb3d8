//! A stand-in for the platform's API on a worker, for tests and the demo only.
//!
//! It runs tasks under leases on the machine's boot clock, pauses a task by itself when its lease
//! passes, reports usage with a lag, checkpoints, throttles and stops, injects faults on request,
//! and records what it really ran, so that tests need not trust the system's word.

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

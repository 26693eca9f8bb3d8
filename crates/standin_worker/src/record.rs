//! The record of what really ran.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::TaskStatus;

/// Time in which a task ran without a pause, in microseconds of the boot clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Interval {
    /// Start.
    pub start_us: u64,
    /// End; none while it runs.
    pub end_us: Option<u64>,
}

/// One task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RanTask {
    /// The run, as `job.index.epoch`.
    pub run: String,
    /// Progress that it started from, in microseconds of work.
    pub from_us: u64,
    /// Progress that it reached, in microseconds of work.
    pub progress_us: u64,
    /// When it ran.
    pub intervals: Vec<Interval>,
    /// Its state.
    pub status: TaskStatus,
}

/// Everything that ran.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
pub struct WorkerRecord {
    /// The tasks in the order in which they were started.
    pub tasks: Vec<RanTask>,
    /// The most processor time that was set aside at once, in thousandths of a core.
    pub peak_millicores: u32,
    /// The most memory that was set aside at once, in MiB.
    pub peak_memory: u32,
}

//! Record of the tasks that actually ran.

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use crate::TaskStatus;

/// Interval in which a task ran without a pause, in microseconds of the boot clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct Interval {
    /// Start.
    pub start_us: u64,
    /// End; `None` while running.
    pub end_us: Option<u64>,
}

/// Record of one task.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
pub struct RanTask {
    /// The run, as `job.index.epoch`.
    pub run: String,
    /// Progress at the start, in microseconds of work.
    pub from_us: u64,
    /// Progress reached, in microseconds of work.
    pub progress_us: u64,
    /// Intervals in which the task ran.
    pub intervals: Vec<Interval>,
    /// State of the task.
    pub status: TaskStatus,
}

/// Every task that ran, and the peak load.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
pub struct WorkerRecord {
    /// Tasks in start order.
    pub tasks: Vec<RanTask>,
    /// Peak total CPU demand of the open tasks.
    pub peak_millicores: u32,
    /// Peak total memory demand of the open tasks, in MiB.
    pub peak_memory: u32,
}

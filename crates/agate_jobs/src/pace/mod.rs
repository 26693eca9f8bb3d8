//! Pacing of best-effort tasks that share a worker with serving tasks, which have a latency target.
//!
//! The tail latency of a serving task grows like `idle / (1 - utilization)`. The utilization is the
//! task's own load plus the interference of each best-effort task on the worker. The interference
//! depends on the pair of images and is learned from the half-second samples that workers provide.
//! Load and interference are estimated with their uncertainty, so that an error of the expected
//! utilization corrects the least certain estimates the most.

mod filter;
mod give_back;
mod model;
mod pacer;
mod sample;
mod violation;

use serde::{Deserialize, Serialize};

pub use give_back::{GiveBack, StopCost};
pub use model::DEFAULT_INTERFERENCE;
pub use pacer::Pacer;

use crate::task::TaskKey;

/// Pace of a task that isn't slowed, in percent of full speed.
pub const FULL_SPEED_PERCENT: u32 = 100;

/// Upper bound for the estimated interference of a best-effort task.
const MAX_INTERFERENCE: f64 = 2.0;

/// A task with a latency target and its latest sample.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingTask {
    /// The task.
    pub task: TaskKey,
    /// Image that the task runs.
    pub image: String,
    /// Target for the tail latency, in milliseconds.
    pub target_ms: f64,
    /// Sampled tail latency, in milliseconds.
    pub tail_ms: f64,
}

/// A best-effort task and its latest sample.
#[derive(Debug, Clone, PartialEq)]
pub struct BestEffortTask {
    /// The task.
    pub task: TaskKey,
    /// Image that the task runs.
    pub image: String,
    /// Share of full speed at which the task ran, up to one.
    pub share: f64,
}

/// Utilization that a best-effort image adds to a serving image.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interference {
    /// The serving image.
    pub serving: String,
    /// The best-effort image.
    #[serde(rename = "filling")]
    pub best_effort: String,
    /// Utilization added by one task at full speed, in thousandths.
    pub milli: u32,
}

/// Utilization that the tasks of a serving image leave to best-effort tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headroom {
    /// The serving image.
    pub serving: String,
    /// The utilization, in thousandths.
    pub milli: u32,
}

impl Interference {
    /// Creates the interference of a pair from the utilization that one task adds at full speed.
    pub fn new(serving: &str, best_effort: &str, added: f64) -> Self {
        Self {
            serving: serving.to_owned(),
            best_effort: best_effort.to_owned(),
            milli: milli(added),
        }
    }
}

/// Converts a share to thousandths, clamped to the range from zero to [`MAX_INTERFERENCE`].
fn milli(share: f64) -> u32 {
    round_to_u32(share.clamp(0.0, MAX_INTERFERENCE) * 1_000.0)
}

fn percent(share: f64) -> u32 {
    round_to_u32(share.clamp(0.0, 1.0) * f64::from(FULL_SPEED_PERCENT))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers clamp the value to a range that fits"
)]
fn round_to_u32(value: f64) -> u32 {
    value.round() as u32
}

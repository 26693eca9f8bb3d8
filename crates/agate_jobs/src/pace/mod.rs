//! Pace of tasks that fill spare capacity beside tasks with a latency target.
//!
//! A serving task's tail latency grows like `base / (1 - use)`, where its use is made up of its own
//! load and of what each filling task beside it adds. What a filling task adds differs by the pair
//! of images; it is learned from the half-second figures that workers give. Both are followed with
//! their uncertainty: an error of the expected tail corrects what is least known.

mod filter;
mod model;
mod pacer;
mod sample;
mod violation;

use serde::{Deserialize, Serialize};

pub use model::DEFAULT_INTERFERENCE;
pub use pacer::Pacer;

use crate::task::TaskKey;

/// Highest pace: full speed, in percent.
pub const FULL_SPEED_PERCENT: u32 = 100;

/// Largest use that a filling task may be found to add.
const MAX_INTERFERENCE: f64 = 2.0;

/// A task with a latency target and its latest figure.
#[derive(Debug, Clone, PartialEq)]
pub struct ServingTask {
    /// The task.
    pub task: TaskKey,
    /// What it runs.
    pub image: String,
    /// Bound on its tail latency in milliseconds.
    pub target_ms: f64,
    /// Its tail latency in milliseconds.
    pub tail_ms: f64,
}

/// A task that fills and its latest figure.
#[derive(Debug, Clone, PartialEq)]
pub struct BestEffortTask {
    /// The task.
    pub task: TaskKey,
    /// What it runs.
    pub image: String,
    /// The share of its speed at which it worked, up to one.
    pub share: f64,
}

/// Use that a filling image adds to a serving image.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Interference {
    /// The serving image.
    pub serving: String,
    /// The filling image.
    #[serde(rename = "filling")]
    pub best_effort: String,
    /// Use added by one task at full speed, in thousandths.
    pub milli: u32,
}

/// Use that the tasks of one serving image leave to filling tasks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Headroom {
    /// The serving image.
    pub serving: String,
    /// The use, in thousandths.
    pub milli: u32,
}

impl Interference {
    /// A pair and the use that one task adds at full speed, as a share.
    pub fn new(serving: &str, best_effort: &str, added: f64) -> Self {
        Self {
            serving: serving.to_owned(),
            best_effort: best_effort.to_owned(),
            milli: milli(added),
        }
    }
}

/// A share between zero and [`PRESSURE_LIMIT`] in thousandths.
fn milli(share: f64) -> u32 {
    whole(share.clamp(0.0, MAX_INTERFERENCE) * 1_000.0)
}

fn percent(share: f64) -> u32 {
    whole(share.clamp(0.0, 1.0) * f64::from(FULL_SPEED_PERCENT))
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "callers clamp the value to a range that fits"
)]
fn whole(value: f64) -> u32 {
    value.round() as u32
}

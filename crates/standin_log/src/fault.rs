//! Faults that can be injected while the log runs.

use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The active faults.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether every append and read is rejected.
    #[serde(default)]
    pub outage: bool,
    /// Delay added to every append and read.
    #[serde(default)]
    pub slow_ms: u64,
    /// Share of appends that take effect but return an error.
    #[serde(default)]
    pub lose_answers_percent: u8,
}

impl Faults {
    /// Randomly decides whether the response to one append is lost.
    pub fn loses_answer(self, rng: &mut impl Rng) -> bool {
        rng.random_range(0..100) < self.lose_answers_percent
    }
}

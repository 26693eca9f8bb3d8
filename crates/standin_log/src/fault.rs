//! Faults that can be switched on and off while the log runs.

use rand::Rng;
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The faults in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether every append and read is refused.
    #[serde(default)]
    pub outage: bool,
    /// Delay added to every append and read, in milliseconds.
    #[serde(default)]
    pub slow_ms: u64,
    /// Share of appends that take effect and whose answer is then withheld, in percent.
    #[serde(default)]
    pub lose_answers_percent: u8,
}

impl Faults {
    /// Draws whether the answer to one append is withheld.
    pub fn loses_answer(self, rng: &mut impl Rng) -> bool {
        rng.random_range(0..100) < self.lose_answers_percent
    }
}

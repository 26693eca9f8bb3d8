//! A bound set in advance, and what was read.

use std::fmt;

/// Which side of a value a reading must lie on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Limit {
    /// At most the value.
    AtMost(f64),
    /// Below the value.
    Below(f64),
    /// At least the value.
    AtLeast(f64),
}

impl fmt::Display for Limit {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::AtMost(value) => write!(f, "<= {value}"),
            Self::Below(value) => write!(f, "< {value}"),
            Self::AtLeast(value) => write!(f, ">= {value}"),
        }
    }
}

/// One bound.
#[derive(Debug, Clone, PartialEq)]
pub struct Bound {
    /// What is bounded.
    pub name: String,
    /// Where it must lie.
    pub limit: Limit,
    /// What was read.
    pub measured: f64,
}

impl Bound {
    /// Whether the reading lies within the limit; one that is no number does not.
    pub fn is_met(&self) -> bool {
        match self.limit {
            Limit::AtMost(value) => self.measured <= value,
            Limit::Below(value) => self.measured < value,
            Limit::AtLeast(value) => self.measured >= value,
        }
    }

    pub(super) fn cells(&self) -> Vec<String> {
        let result = if self.is_met() { "met" } else { "MISSED" };
        vec![
            self.name.clone(),
            self.limit.to_string(),
            format!("{:.3}", self.measured),
            result.to_owned(),
        ]
    }
}

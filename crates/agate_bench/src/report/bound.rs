//! Bounds and the values checked against them.

use std::fmt;

/// Range of values that meet a bound.
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

/// A bound with the value checked against it.
#[derive(Debug, Clone, PartialEq)]
pub struct Bound {
    /// Quantity that is bounded.
    pub name: String,
    /// Range that the value must lie in.
    pub limit: Limit,
    /// Measured value.
    pub measured: f64,
}

impl Bound {
    /// Returns whether the measured value is within the limit; NaN never is.
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

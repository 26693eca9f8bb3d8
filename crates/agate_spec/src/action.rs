//! One line of a trace.

use std::str::FromStr;

use displaydoc::Display;

/// An action and its numbers, in the order in which the specification prints them.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// Its name.
    pub name: String,
    numbers: Vec<u32>,
}

/// Why a trace does not fit.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TraceError {
    /// the line is not an action: {0}
    NotAnAction(String),
    /// the action {0} is not known to the replay
    Unknown(String),
    /// the action {name} has no number {index}
    Short {
        /// The action.
        name: String,
        /// The missing number.
        index: usize,
    },
    /// step {step}, {action}: the specification says {specified}, the code says {coded}
    Differs {
        /// Number of the line.
        step: usize,
        /// The action.
        action: String,
        /// State by the specification.
        specified: String,
        /// State by the code.
        coded: String,
    },
}

impl std::error::Error for TraceError {}

impl Action {
    /// The number at `index`.
    ///
    /// # Errors
    ///
    /// Fails if the line has fewer numbers.
    pub fn number(&self, index: usize) -> Result<u32, TraceError> {
        let number = self.numbers.get(index).copied();
        number.ok_or_else(|| TraceError::Short {
            name: self.name.clone(),
            index,
        })
    }

    /// The number at `index` as a truth value.
    ///
    /// # Errors
    ///
    /// Fails if the line has fewer numbers.
    pub fn truth(&self, index: usize) -> Result<bool, TraceError> {
        Ok(self.number(index)? != 0)
    }
}

impl FromStr for Action {
    type Err = TraceError;

    fn from_str(line: &str) -> Result<Self, TraceError> {
        let bad = || TraceError::NotAnAction(line.to_owned());
        let mut words = line.split_whitespace();
        if words.next() != Some("ACT") {
            return Err(bad());
        }
        let name = words.next().ok_or_else(bad)?.to_owned();
        let mut numbers = Vec::new();
        for word in words {
            let Ok(number) = word.parse() else {
                return Err(bad());
            };
            numbers.push(number);
        }
        Ok(Self { name, numbers })
    }
}

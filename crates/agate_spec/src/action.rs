//! Actions of a trace.

use std::str::FromStr;

use displaydoc::Display;

/// Action with its arguments, parsed from one line of a trace.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Action {
    /// Name of the action.
    pub name: String,
    arguments: Vec<u32>,
}

/// Error when parsing or replaying a trace.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TraceError {
    /// line is not an action: {0}
    NotAnAction(String),
    /// unknown specification or action: {0}
    Unknown(String),
    /// action {name} has no argument {index}
    MissingArgument {
        /// Name of the action.
        name: String,
        /// Index of the missing argument.
        index: usize,
    },
    /// step {step}, {action}: the specification has {expected}, the code has {actual}
    Mismatch {
        /// Line number in the trace.
        step: usize,
        /// Line of the action.
        action: String,
        /// State of the specification.
        expected: String,
        /// State of the code.
        actual: String,
    },
}

impl std::error::Error for TraceError {}

impl Action {
    /// Returns the argument at `index`.
    ///
    /// # Errors
    ///
    /// Fails if the action has fewer arguments.
    pub fn argument(&self, index: usize) -> Result<u32, TraceError> {
        let argument = self.arguments.get(index).copied();
        argument.ok_or_else(|| TraceError::MissingArgument {
            name: self.name.clone(),
            index,
        })
    }

    /// Returns the argument at `index` as a flag.
    ///
    /// # Errors
    ///
    /// Fails if the action has fewer arguments.
    pub fn flag(&self, index: usize) -> Result<bool, TraceError> {
        Ok(self.argument(index)? != 0)
    }
}

impl FromStr for Action {
    type Err = TraceError;

    fn from_str(line: &str) -> Result<Self, TraceError> {
        let not_an_action = || TraceError::NotAnAction(line.to_owned());
        let mut words = line.split_whitespace();
        if words.next() != Some("ACT") {
            return Err(not_an_action());
        }
        let name = words.next().ok_or_else(not_an_action)?.to_owned();
        let mut arguments = Vec::new();
        for word in words {
            let Ok(argument) = word.parse() else {
                return Err(not_an_action());
            };
            arguments.push(argument);
        }
        Ok(Self { name, arguments })
    }
}

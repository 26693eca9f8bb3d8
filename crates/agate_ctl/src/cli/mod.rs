//! Command line of `agatectl`.

mod command;
mod options;

pub use command::{Command, JobCommand, PresetCommand, WorkSelector};
pub(crate) use options::parser;
pub use options::{Options, OutputFormat, parse};

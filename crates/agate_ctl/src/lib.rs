//! Command-line tool for operators: presets, withdrawals, jobs and members.

mod cli;
mod client;
mod exit;
mod output;
mod reference;
mod reply;
mod request;
mod run;

pub use cli::{Command, JobCommand, Options, OutputFormat, PresetCommand, WorkSelector, parse};
pub use exit::ExitStatus;
pub use output::table;
pub use reference::reference;
pub use run::{Report, run};

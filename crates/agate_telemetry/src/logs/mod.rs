//! Logs: one line of key=value pairs for each event.

mod line;
mod setup;

pub use line::line;
pub use setup::{init, slog_logger};

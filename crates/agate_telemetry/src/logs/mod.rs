//! Logs, with one line of key=value pairs per event.

mod bounded;
mod line;
mod setup;

pub use bounded::{flush, init_bounded};
pub use line::line;
pub use setup::{init, slog_logger};

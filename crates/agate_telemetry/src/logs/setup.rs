//! Logger setup.

use std::io::Write as _;

use log::{LevelFilter, SetLoggerError};
use slog::Drain as _;

use super::line;

/// Logs events of `level` and above to standard error, one line each.
///
/// # Errors
///
/// Fails if the process already has a logger.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    builder(level).try_init()
}

/// Returns the builder of a logger that writes each event of `level` and above as one line.
pub(super) fn builder(level: LevelFilter) -> env_logger::Builder {
    let mut builder = env_logger::Builder::new();
    builder.filter_level(level);
    builder.format(|buffer, record| {
        let time = buffer.timestamp_millis().to_string();
        writeln!(buffer, "{}", line(record, &time))
    });
    builder
}

/// Returns a logger for libraries that use `slog`. Its events go to the process's logger.
pub fn slog_logger() -> slog::Logger {
    slog::Logger::root(slog_stdlog::StdLog.fuse(), slog::o!())
}

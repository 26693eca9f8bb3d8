//! Startup, supervision and shutdown of the process.

mod config;
mod error;
mod running;
mod shared;
mod start;

pub use config::EntryConfig;
pub use error::StartError;
pub use running::{Running, Shutdown, ShutdownOutcome};
pub use start::start;

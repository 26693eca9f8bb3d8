//! The process: what is started, supervised and ended.

mod config;
mod error;
mod parts;
mod running;
mod start;

pub use config::EntryConfig;
pub use error::StartError;
pub use running::{Running, Shutdown, ShutdownOutcome};
pub use start::start;

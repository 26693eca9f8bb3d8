//! Logs, metrics and spans, the same in every process.

pub mod logs;
pub mod metrics;
pub mod spans;

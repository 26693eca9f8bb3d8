//! Logs, metrics and spans, shared by all processes.

pub mod logs;
pub mod metrics;
pub mod spans;

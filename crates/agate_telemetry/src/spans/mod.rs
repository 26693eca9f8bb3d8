//! Tracing spans, one per hop of a request or run.

mod hop;
mod span;
mod tracer;

pub use hop::Hop;
pub use span::HopSpan;
pub use tracer::{Tracer, TracerError};

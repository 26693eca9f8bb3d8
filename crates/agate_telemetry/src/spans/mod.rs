//! Spans: one for each hop of a request or a run.

mod hop;
mod span;
mod tracer;

pub use hop::Hop;
pub use span::HopSpan;
pub use tracer::{Tracer, TracerError};

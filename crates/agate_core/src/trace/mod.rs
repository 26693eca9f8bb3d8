//! W3C trace contexts, carried from hop to hop.

mod context;

pub use context::{TraceContext, TraceError};

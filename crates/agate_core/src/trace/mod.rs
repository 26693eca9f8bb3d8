//! W3C trace contexts, propagated from hop to hop.

mod context;

pub use context::{TraceContext, TraceError};

//! The span of a hop.

use std::fmt;

use agate_core::TraceContext;
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span as _, SpanContext, Status};
use opentelemetry_sdk::trace::Span;

/// The span of a hop. It ends when dropped.
pub struct HopSpan(Span);

impl HopSpan {
    pub(crate) fn new(span: Span) -> Self {
        Self(span)
    }

    /// Returns the context to propagate to the next hop.
    pub fn context(&self) -> TraceContext {
        from_span_context(self.0.span_context())
    }

    /// Sets an attribute of the span.
    pub fn note(&mut self, key: &'static str, value: impl fmt::Display) {
        self.0.set_attribute(KeyValue::new(key, value.to_string()));
    }

    /// Sets the status of the span to an error.
    pub fn fail(&mut self, cause: impl fmt::Display) {
        self.0.set_status(Status::error(cause.to_string()));
    }
}

impl fmt::Debug for HopSpan {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_tuple("HopSpan").field(&self.context()).finish()
    }
}

fn from_span_context(context: &SpanContext) -> TraceContext {
    TraceContext {
        trace: u128::from_be_bytes(context.trace_id().to_bytes()),
        span: u64::from_be_bytes(context.span_id().to_bytes()),
        sampled: context.is_sampled(),
    }
}

//! The span of one hop.

use std::fmt;

use agate_core::TraceContext;
use opentelemetry::KeyValue;
use opentelemetry::trace::{Span as _, SpanContext, Status};
use opentelemetry_sdk::trace::Span;

/// The span of one hop; it ends when it is dropped.
pub struct HopSpan(Span);

impl HopSpan {
    pub(crate) fn new(span: Span) -> Self {
        Self(span)
    }

    /// The context to send to the next hop.
    pub fn context(&self) -> TraceContext {
        from_span_context(self.0.span_context())
    }

    /// Adds a fact about the hop.
    pub fn note(&mut self, key: &'static str, value: impl fmt::Display) {
        self.0.set_attribute(KeyValue::new(key, value.to_string()));
    }

    /// Marks the hop as failed.
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

//! The `traceparent` header of W3C Trace Context, version 00.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use rand::Rng;
use serde::{Deserialize, Serialize};

/// The trace that a message belongs to and the span that sent it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct TraceContext {
    /// Trace id.
    pub trace: u128,
    /// Id of the span that sent the message.
    pub span: u64,
    /// Whether the trace is recorded.
    pub sampled: bool,
}

/// Why a `traceparent` is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum TraceError {
    /// a traceparent has the shape 00-TRACE-SPAN-FLAGS in lower-case hexadecimal digits
    BadShape,
    /// the trace id and the span id must not be zero
    Zero,
}

impl std::error::Error for TraceError {}

impl TraceContext {
    /// Creates the context of a new trace.
    pub fn root(rng: &mut impl Rng, sampled: bool) -> Self {
        Self {
            trace: rng.random_range(1..=u128::MAX),
            span: rng.random_range(1..=u64::MAX),
            sampled,
        }
    }

    /// Returns the context of a new span in the same trace.
    pub fn child(self, rng: &mut impl Rng) -> Self {
        Self {
            span: rng.random_range(1..=u64::MAX),
            ..self
        }
    }
}

impl fmt::Display for TraceContext {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "00-{:032x}-{:016x}-{:02x}",
            self.trace,
            self.span,
            u8::from(self.sampled)
        )
    }
}

impl FromStr for TraceContext {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        let is_lower_hex = |part: &str| {
            part.bytes()
                .all(|b| b.is_ascii_digit() || (b'a'..=b'f').contains(&b))
        };
        let parts: Vec<&str> = text.split('-').collect();
        let [version, trace, span, flags] = parts[..] else {
            return Err(TraceError::BadShape);
        };
        let lengths = (version.len(), trace.len(), span.len(), flags.len());
        if version != "00" || lengths != (2, 32, 16, 2) || !parts.iter().all(|p| is_lower_hex(p)) {
            return Err(TraceError::BadShape);
        }
        let (Ok(trace), Ok(span), Ok(flags)) = (
            u128::from_str_radix(trace, 16),
            u64::from_str_radix(span, 16),
            u8::from_str_radix(flags, 16),
        ) else {
            return Err(TraceError::BadShape);
        };
        if trace == 0 || span == 0 {
            return Err(TraceError::Zero);
        }
        Ok(Self {
            trace,
            span,
            sampled: flags & 1 == 1,
        })
    }
}

impl TryFrom<String> for TraceContext {
    type Error = TraceError;

    fn try_from(text: String) -> Result<Self, TraceError> {
        text.parse()
    }
}

impl From<TraceContext> for String {
    fn from(context: TraceContext) -> Self {
        context.to_string()
    }
}

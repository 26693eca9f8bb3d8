//! The hops that get a span.

use opentelemetry::trace::SpanKind;
use strum::{EnumIter, IntoStaticStr};

/// A hop on the way of a request or a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
pub enum Hop {
    /// An entry answers a caller.
    #[strum(serialize = "entry.request")]
    EntryRequest,
    /// An entry sends one attempt to an agent.
    #[strum(serialize = "entry.attempt")]
    EntryAttempt,
    /// An agent serves an attempt.
    #[strum(serialize = "agent.serve")]
    AgentServe,
    /// An agent forwards a request to its backend server.
    #[strum(serialize = "agent.forward")]
    AgentForward,
    /// An entry places a run.
    #[strum(serialize = "entry.place")]
    EntryPlace,
    /// An agent holds a run.
    #[strum(serialize = "agent.run")]
    AgentRun,
}

impl Hop {
    /// The span's name.
    pub fn name(self) -> &'static str {
        self.into()
    }

    pub(crate) fn kind(self) -> SpanKind {
        match self {
            Self::EntryRequest | Self::AgentServe | Self::AgentRun => SpanKind::Server,
            Self::EntryAttempt | Self::AgentForward | Self::EntryPlace => SpanKind::Client,
        }
    }
}

//! Hops that have a span.

use opentelemetry::trace::SpanKind;
use strum::{EnumIter, IntoStaticStr};

/// A hop of a request or run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EnumIter, IntoStaticStr)]
pub enum Hop {
    /// An entry handles a request of a caller.
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
    /// An entry starts a run on an agent.
    #[strum(serialize = "entry.place")]
    EntryPlace,
    /// An agent starts and supervises a run on its worker.
    #[strum(serialize = "agent.run")]
    AgentRun,
}

impl Hop {
    /// Returns the name of the span.
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

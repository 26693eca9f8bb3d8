//! An urgent request and its outcome.

use std::time::Duration;

use agate_core::{CallerName, ClassName, TraceContext};
use agate_preset::ClassPolicy;
use agate_wire::Blob;
use agate_wire::message::ServeRequest;

use super::attempt::{AttemptTarget, VerifiedAnswer};
use super::{Deadline, Ticket};

/// Whether the key may have been sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum PriorSend {
    /// The entry generated the key for this attempt.
    Never,
    /// The key may have been sent before, through this entry or another.
    Possible,
}

/// Parameters of one attempt at a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AttemptParams {
    /// Attempt id, unique within this entry.
    pub(crate) id: u64,
    /// Time budget of the agent in milliseconds.
    pub(crate) budget_ms: u64,
    pub(crate) trace: TraceContext,
}

/// A validated request.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) caller: CallerName,
    pub(crate) class: ClassName,
    pub(crate) policy: ClassPolicy,
    pub(crate) media: String,
    pub(crate) body: Blob,
    /// Length of the unencoded body in bytes.
    pub(crate) length: usize,
    pub(crate) trace: TraceContext,
    pub(crate) deadline: Deadline,
    pub(crate) prior_send: PriorSend,
}

impl Call {
    /// Returns the size of the body in bytes, without its envelope.
    pub(crate) const fn bytes(&self) -> u64 {
        self.length as u64
    }

    /// Builds the message that asks an agent to serve this request.
    pub(crate) fn request(&self, to: AttemptTarget, params: AttemptParams) -> ServeRequest {
        ServeRequest {
            request: params.id,
            incarnation: to.incarnation,
            key: to.key,
            caller: self.caller.clone(),
            class: self.class.clone(),
            budget_ms: params.budget_ms,
            trace: params.trace,
            media: self.media.clone(),
            body: self.body.clone(),
        }
    }
}

/// Outcome reported to the caller.
#[derive(Debug)]
pub(crate) enum CallOutcome {
    /// The request ran and was answered.
    Done(VerifiedAnswer),
    /// The request did not run and never will under its key.
    NotRun {
        /// Reason.
        reason: String,
        /// Delay before a retry is worthwhile.
        retry_after: Duration,
    },
    /// The request ran, but its answer is lost.
    Unanswered {
        /// What was observed.
        reason: String,
        /// Ticket for querying the request's status.
        ticket: Option<Ticket>,
    },
    /// The request may have run.
    Unknown {
        /// What was observed.
        reason: String,
        /// Ticket for querying the request's status.
        ticket: Option<Ticket>,
    },
}

impl CallOutcome {
    /// Returns the outcome of a request that can't be served now. It is known not to have run only
    /// if its key can't have been sent before.
    pub(crate) fn unsent(
        prior_send: PriorSend,
        reason: impl Into<String>,
        retry_after: Duration,
    ) -> Self {
        let reason = reason.into();
        match prior_send {
            PriorSend::Never => Self::NotRun {
                reason,
                retry_after,
            },
            PriorSend::Possible => Self::Unknown {
                reason: format!("{reason}; an earlier attempt with the same key may have run"),
                ticket: None,
            },
        }
    }
}

//! One request of a caller.

use std::time::Duration;

use agate_core::{CallerName, ClassName, TraceContext};
use agate_preset::ClassPolicy;
use agate_wire::Blob;
use agate_wire::message::ServeRequest;

use super::attempt::{Addressee, WholeAnswer};
use super::{Deadline, Ticket};

/// Whether the same key may have been sent before.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sent {
    /// It can't have been: the entry drew the key for this one attempt.
    First,
    /// It may have been, through this entry or another.
    Maybe,
}

/// What one attempt adds to a request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Sending {
    /// Unique for this entry.
    pub(crate) id: u64,
    /// Milliseconds that the agent gets.
    pub(crate) budget_ms: u64,
    pub(crate) trace: TraceContext,
}

/// A request that passed every check.
#[derive(Debug, Clone)]
pub(crate) struct Call {
    pub(crate) caller: CallerName,
    pub(crate) class: ClassName,
    pub(crate) policy: ClassPolicy,
    pub(crate) media: String,
    pub(crate) body: Blob,
    /// Length of the body.
    pub(crate) length: usize,
    pub(crate) trace: TraceContext,
    pub(crate) deadline: Deadline,
    pub(crate) sent: Sent,
}

impl Call {
    /// Bytes that the request takes to send, its envelope left out.
    pub(crate) const fn bytes(&self) -> u64 {
        self.length as u64
    }

    /// The message that asks for this request to be served.
    pub(crate) fn request(&self, to: Addressee, sending: Sending) -> ServeRequest {
        ServeRequest {
            request: sending.id,
            incarnation: to.incarnation,
            key: to.key,
            caller: self.caller.clone(),
            class: self.class.clone(),
            budget_ms: sending.budget_ms,
            trace: sending.trace,
            media: self.media.clone(),
            body: self.body.clone(),
        }
    }
}

/// What the caller is told.
#[derive(Debug)]
pub(crate) enum Ending {
    /// The request ran; this is its answer.
    Done(WholeAnswer),
    /// The request did not run and never will under its key.
    NotRun {
        /// Why.
        reason: String,
        /// When it is worth coming back.
        retry: Duration,
    },
    /// The request ran, but its answer is lost.
    Unanswered {
        /// What was seen.
        reason: String,
        /// Under which its fate can be asked.
        ticket: Option<Ticket>,
    },
    /// The request may have run.
    Unknown {
        /// What was seen.
        reason: String,
        /// Under which its fate can be asked.
        ticket: Option<Ticket>,
    },
}

impl Ending {
    /// A request that can't be served now. It is known not to have run only if its key can't have
    /// been sent before.
    pub(crate) fn unsent(sent: Sent, reason: impl Into<String>, retry: Duration) -> Self {
        let reason = reason.into();
        match sent {
            Sent::First => Self::NotRun { reason, retry },
            Sent::Maybe => Self::Unknown {
                reason: format!("{reason}; an earlier attempt with the same key may have run"),
                ticket: None,
            },
        }
    }
}

//! Attempts at a request and the outcomes of admission.

use std::time::Duration;

use agate_core::ClassName;
use agate_wire::message::Refusal;
use slotmap::new_key_type;

new_key_type! {
    /// Key of an attempt that is running or queued.
    pub struct AttemptKey;
}

/// An attempt that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// Class of the request.
    pub class: &'a ClassName,
    /// Largest share of the slots that the class may hold, in percent.
    pub share_percent: u32,
    /// Time left until the answer must be sent.
    pub budget: Duration,
}

/// A refused attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why the attempt was refused.
    pub reason: Refusal,
    /// Time to wait before the next attempt.
    pub retry_after: Duration,
}

/// The decision on an offered attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now and holds a slot and a connection until it is finished.
    Start(AttemptKey),
    /// It is queued.
    Queue(AttemptKey),
    /// It is not run.
    Refuse(Refused),
}

/// A queued attempt that is refused without having run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// The attempt.
    pub key: AttemptKey,
    /// The refusal to send at once.
    pub refused: Refused,
}

/// Changes to the queue after a slot became free or time passed.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[must_use]
pub struct QueueUpdate {
    /// Attempts to start now.
    pub start: Vec<AttemptKey>,
    /// Attempts to refuse now.
    pub dropped: Vec<Dropped>,
}

/// How a started attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum AttemptOutcome {
    /// The backend server sent a complete answer.
    Answered,
    /// The backend server sent no complete answer.
    Failed,
    /// The attempt never reached the backend server.
    NotStarted,
}

/// Whether a started attempt may still be sent to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StartCheck {
    /// It may be sent.
    Proceed,
    /// Its deadline has passed; finish it with [`AttemptOutcome::NotStarted`].
    Expired,
}

/// Result of cancelling an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CancelOutcome {
    /// The attempt was queued and will not run.
    Removed,
    /// The attempt has started and keeps running.
    Running,
    /// The attempt is unknown, because it has already ended.
    Unknown,
}

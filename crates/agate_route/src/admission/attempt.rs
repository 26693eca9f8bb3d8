//! One attempt at a request, and what can happen to it.

use std::time::Duration;

use agate_core::ClassName;
use agate_wire::message::Refusal;
use slotmap::new_key_type;

new_key_type! {
    /// Key of an attempt that has been started or queued.
    pub struct AttemptKey;
}

/// An attempt that has just arrived.
#[derive(Debug, Clone, Copy)]
pub struct Offer<'a> {
    /// Class of the request.
    pub class: &'a ClassName,
    /// The largest share of the slots that the class may hold, in percent.
    pub share_percent: u32,
    /// Time left until the answer must be on its way.
    pub budget: Duration,
}

/// Why an attempt is not run, and when it is worth coming back.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refused {
    /// Why.
    pub reason: Refusal,
    /// When it is worth coming back.
    pub retry_after: Duration,
}

/// What happens to an offered attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AdmissionDecision {
    /// It starts now and holds a slot and a connection until it is finished.
    Start(AttemptKey),
    /// It waits.
    Queue(AttemptKey),
    /// It is not run.
    Refuse(Refused),
}

/// A queued attempt that will not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Dropped {
    /// The attempt.
    pub key: AttemptKey,
    /// What its sender is told, at once.
    pub refused: Refused,
}

/// What follows from a slot that became free, or from time that passed.
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
    /// The backend server gave a whole answer.
    Answered,
    /// The backend server gave no whole answer.
    Failed,
    /// The attempt never reached the backend server.
    NotStarted,
}

/// Whether a started attempt may still be sent to the backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum StartCheck {
    /// It may.
    Proceed,
    /// Its deadline has passed; finish it with [`AttemptOutcome::NotStarted`].
    Expired,
}

/// What cancelling did.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CancelOutcome {
    /// The attempt waited and will not run.
    Removed,
    /// The attempt has started and goes on.
    Running,
    /// The attempt is not known: it has ended.
    Unknown,
}

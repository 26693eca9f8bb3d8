//! States of a key and the transitions between them.

use displaydoc::Display;

/// State of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// The key is bound here and may start.
    Queued,
    /// The request was sent to the backend server or is about to be sent.
    Running,
    /// The request ran and was answered. The answer is cached while there is room.
    Done,
    /// The request may have run, but the backend server sent no complete answer.
    Failed(String),
    /// The key did not start here and never will.
    Tombstoned,
}

/// An event that changes the state of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEvent {
    /// A slot is free and the request is sent to the backend server.
    Start,
    /// The attempt is refused before the request runs.
    Refuse,
    /// A tombstone was requested, so that the key never starts.
    Tombstone,
    /// The complete answer has arrived.
    Finish,
    /// No complete answer will arrive.
    Fail(String),
}

/// the key's state does not allow this transition
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct KeyTransitionError;

impl std::error::Error for KeyTransitionError {}

impl KeyState {
    /// Returns the state after `event`.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if this state does not allow the event.
    pub fn next(&self, event: KeyEvent) -> Result<Self, KeyTransitionError> {
        match (self, event) {
            (Self::Queued, KeyEvent::Start) => Ok(Self::Running),
            // A running request that provably never left the agent counts as not run.
            (Self::Queued | Self::Running, KeyEvent::Refuse)
            | (Self::Queued | Self::Tombstoned, KeyEvent::Tombstone) => Ok(Self::Tombstoned),
            (Self::Running, KeyEvent::Finish) => Ok(Self::Done),
            (Self::Running, KeyEvent::Fail(reason)) => Ok(Self::Failed(reason)),
            _ => Err(KeyTransitionError),
        }
    }

    /// Whether the key has not reached a final state.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Queued | Self::Running)
    }
}

/// Status of a key, derived from its state, its age and the cached answers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStatus<A> {
    /// The key has not started and may still start.
    Queued,
    /// The request is running.
    Running,
    /// The request ran and was answered.
    Done(A),
    /// The request ran and was answered, but the answer is no longer cached.
    AnswerDropped,
    /// The request may have run, but the backend server sent no complete answer.
    Failed(String),
    /// The key did not start here and never will.
    NotRun,
    /// The key is unknown here and may start.
    Unbound,
    /// The key is older than the window, so it is not known whether it ran.
    Expired,
}

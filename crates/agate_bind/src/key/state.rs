//! States of one key and the transitions between them.

use displaydoc::Display;

/// State of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyState {
    /// Bound here, and may start.
    Queued,
    /// Sent to the backend server, or about to be.
    Running,
    /// It ran and was answered; the answer is held for as long as there is room.
    Done,
    /// It may have run; the backend server gave no whole answer.
    Failed(String),
    /// It did not start here and never will.
    Tombstoned,
}

/// What can happen to a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyEvent {
    /// A slot is free and the request goes to the backend server.
    Start,
    /// The attempt is refused before it starts.
    Refuse,
    /// Someone asked that it never start.
    Tombstone,
    /// The whole answer has arrived.
    Finish,
    /// No whole answer will arrive.
    Fail(String),
}

/// The transition is not open to a key in this state.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct KeyTransitionError;

impl std::error::Error for KeyTransitionError {}

impl KeyState {
    /// The state after `event`.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the event is not open to this state.
    pub fn next(&self, event: KeyEvent) -> Result<Self, KeyTransitionError> {
        match (self, event) {
            (Self::Queued, KeyEvent::Start) => Ok(Self::Running),
            // A request that is running but provably never left the agent did not run.
            (Self::Queued | Self::Running, KeyEvent::Refuse)
            | (Self::Queued | Self::Tombstoned, KeyEvent::Tombstone) => Ok(Self::Tombstoned),
            (Self::Running, KeyEvent::Finish) => Ok(Self::Done),
            (Self::Running, KeyEvent::Fail(reason)) => Ok(Self::Failed(reason)),
            _ => Err(KeyTransitionError),
        }
    }

    /// Whether something is still to happen to the key.
    pub const fn is_open(&self) -> bool {
        matches!(self, Self::Queued | Self::Running)
    }
}

/// What is known of a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyStatus<A> {
    /// It has not started, and may.
    Queued,
    /// It is running.
    Running,
    /// It ran; this is its answer.
    Done(A),
    /// It ran and was answered; the answer is not held any more.
    AnswerDropped,
    /// It may have run; the backend server gave no whole answer.
    Failed(String),
    /// It did not start here and never will.
    NotRun,
    /// It is not known here and may start.
    Unknown,
    /// It is older than the window; whether it ran is not remembered.
    Expired,
}

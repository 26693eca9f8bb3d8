//! The keys of one incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::Key;
use agate_core::ids::KeyError;
use bon::Builder;
use displaydoc::Display;

use super::answers::Answers;
use super::{KeyEvent, KeyState, KeyStatus, KeyTransitionError};

/// Bounds of a [`KeyTable`].
#[derive(Debug, Clone, Copy, Builder)]
pub struct KeyLimits {
    /// Age up to which an unknown key is accepted.
    pub window: Duration,
    /// Keys remembered at once.
    pub max_keys: usize,
    /// Bytes of answers held at once.
    pub max_answer_bytes: usize,
}

/// What became of an attempt to bind a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyBindOutcome<A> {
    /// The key is new here; it is queued now and the caller of `bind` runs it.
    New,
    /// The key is known here; the attempt must not run it.
    Known(KeyStatus<A>),
    /// The key is not bound here.
    Refused(KeyRefusal),
}

/// Why a key is not bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KeyRefusal {
    /// the key is older than the window in which keys are remembered
    TooOld,
    /// the key was made in the future
    FromFuture,
    /// the table of keys is full
    Full,
}

impl std::error::Error for KeyRefusal {}

/// The keys of one incarnation, with the answers of those that are done.
///
/// A key inside the window is never forgotten. Unknown keys made at or before one of two moments
/// that only ever rise are not accepted, so that neither a full table nor a wall clock that steps
/// back can let a key start twice, or start after its refusal.
#[derive(Debug)]
pub struct KeyTable<A> {
    limits: KeyLimits,
    // Ordered by the time at which the key was made, which leads its number.
    states: BTreeMap<Key, KeyState>,
    answers: Answers<A>,
    /// Keys made before this moment may have been forgotten, in milliseconds since the epoch.
    forgotten: u64,
    /// Unknown keys made at or before this moment were refused for good.
    refused: u64,
}

impl<A: Clone> KeyTable<A> {
    /// Starts an empty table.
    pub fn new(limits: KeyLimits) -> Self {
        Self {
            limits,
            states: BTreeMap::new(),
            answers: Answers::new(limits.max_answer_bytes),
            forgotten: 0,
            refused: 0,
        }
    }

    /// Binds `key`, unless it is known or can't be accepted.
    pub fn bind(&mut self, key: Key, wall_ms: u64) -> KeyBindOutcome<A> {
        self.prune(wall_ms);
        match self.status(key) {
            KeyStatus::Unknown => {}
            KeyStatus::Expired => return KeyBindOutcome::Refused(KeyRefusal::TooOld),
            fate => return KeyBindOutcome::Known(fate),
        }
        match key.check_age(wall_ms, self.limits.window) {
            Ok(()) => {}
            Err(KeyError::FromFuture) => return KeyBindOutcome::Refused(KeyRefusal::FromFuture),
            Err(_) => return KeyBindOutcome::Refused(KeyRefusal::TooOld),
        }
        if self.is_full() {
            self.refuse_unknown(key, wall_ms);
            return KeyBindOutcome::Refused(KeyRefusal::Full);
        }
        self.states.insert(key, KeyState::Queued);
        KeyBindOutcome::New
    }

    /// The key's request goes to the backend server now.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key is not queued; the request must not be sent then.
    pub fn start(&mut self, key: Key) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Start)
    }

    /// The attempt was refused and the key never starts.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key has ended.
    pub fn refuse(&mut self, key: Key) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Refuse)
    }

    /// The whole answer arrived; it takes `bytes` bytes to keep.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key is not running.
    pub fn finish(&mut self, key: Key, answer: A, bytes: usize) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Finish)?;
        self.answers.keep(key, answer, bytes);
        Ok(())
    }

    /// No whole answer will arrive.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key is not running.
    pub fn fail(&mut self, key: Key, reason: impl Into<String>) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Fail(reason.into()))
    }

    /// Makes sure that a key that has not started never will, and tells what is known of it.
    pub fn tombstone(&mut self, key: Key, wall_ms: u64) -> KeyStatus<A> {
        self.prune(wall_ms);
        match self.status(key) {
            KeyStatus::Unknown => self.plant(key, wall_ms),
            KeyStatus::Queued => self.states.extend([(key, KeyState::Tombstoned)]),
            _ => {}
        }
        self.status(key)
    }

    /// What is known of `key`.
    pub fn status(&self, key: Key) -> KeyStatus<A> {
        let Some(state) = self.states.get(&key) else {
            return self.status_of_unknown(key);
        };
        match state {
            KeyState::Queued => KeyStatus::Queued,
            KeyState::Running => KeyStatus::Running,
            KeyState::Done => match self.answers.get(key) {
                Some(answer) => KeyStatus::Done(answer.clone()),
                None => KeyStatus::AnswerDropped,
            },
            KeyState::Failed(reason) => KeyStatus::Failed(reason.clone()),
            KeyState::Tombstoned => KeyStatus::NotRun,
        }
    }

    /// Keys remembered.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Bytes of answers held.
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    fn status_of_unknown(&self, key: Key) -> KeyStatus<A> {
        let made = key.made_millis();
        if made < self.forgotten {
            KeyStatus::Expired
        } else if made <= self.refused {
            KeyStatus::NotRun
        } else {
            KeyStatus::Unknown
        }
    }

    fn is_full(&self) -> bool {
        self.states.len() >= self.limits.max_keys
    }

    fn plant(&mut self, key: Key, wall_ms: u64) {
        if self.is_full() {
            self.refuse_unknown(key, wall_ms);
        } else {
            self.states.insert(key, KeyState::Tombstoned);
        }
    }

    /// Refuses for good, without an entry of its own, every unknown key made up to that of `key`.
    /// A key from the future stays as it is, or it would keep out every other until then.
    fn refuse_unknown(&mut self, key: Key, wall_ms: u64) {
        if key.check_age(wall_ms, self.limits.window) != Err(KeyError::FromFuture) {
            self.refused = self.refused.max(key.made_millis());
        }
    }

    fn apply(&mut self, key: Key, event: KeyEvent) -> Result<(), KeyTransitionError> {
        let Some(state) = self.states.get_mut(&key) else {
            return Err(KeyTransitionError);
        };
        *state = state.next(event)?;
        Ok(())
    }

    /// Forgets keys that are past the window and the allowed skew, except those still open.
    fn prune(&mut self, wall_ms: u64) {
        let age = self.limits.window + Key::MAX_SKEW;
        let age = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
        self.forgotten = self.forgotten.max(wall_ms.saturating_sub(age));
        let forgotten = self.forgotten;
        let expired: Vec<Key> = self
            .states
            .iter()
            .take_while(|(key, _)| key.made_millis() < forgotten)
            .filter(|(_, state)| !state.is_open())
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.states.remove(&key);
            self.answers.remove(key);
        }
    }
}

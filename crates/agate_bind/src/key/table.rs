//! Table of the keys of one incarnation.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::Key;
use agate_core::ids::KeyError;
use bon::Builder;
use displaydoc::Display;

use super::answer_cache::AnswerCache;
use super::{KeyEvent, KeyState, KeyStatus, KeyTransitionError};

/// Limits of a [`KeyTable`].
#[derive(Debug, Clone, Copy, Builder)]
pub struct KeyLimits {
    /// Maximum age at which an unknown key is accepted.
    pub window: Duration,
    /// Maximum number of keys.
    pub max_keys: usize,
    /// Maximum size of the cached answers, in bytes.
    pub max_answer_bytes: usize,
}

/// Result of binding a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum KeyBindOutcome<A> {
    /// The key is new here and now queued. Whoever called `bind` must run it.
    New,
    /// The key is already known here and must not be run by this attempt.
    Known(KeyStatus<A>),
    /// The key was not bound.
    Refused(KeyRefusal),
}

/// Why a key was not bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KeyRefusal {
    /// the key is older than the window in which keys are remembered
    TooOld,
    /// the key was made in the future
    FromFuture,
    /// the key table is full
    Full,
}

impl std::error::Error for KeyRefusal {}

/// The keys of one incarnation and the cached answers of completed ones.
///
/// Keys inside the window are never forgotten. Unknown keys created before the window, or no later
/// than a key that was refused because the table was full, are not accepted. Both limits only
/// increase, so neither a full table nor a wall clock that steps back can let a key start twice or
/// start after it was refused.
#[derive(Debug)]
pub struct KeyTable<A> {
    limits: KeyLimits,
    // Ordered by creation time, which forms the leading bits of a key.
    states: BTreeMap<Key, KeyState>,
    answers: AnswerCache<A>,
    /// Keys created before this time, in milliseconds since the Unix epoch, may be forgotten.
    expired_before: u64,
    /// Unknown keys created at or before this time, in milliseconds since the Unix epoch, are
    /// refused for good.
    refused_through: u64,
}

impl<A: Clone> KeyTable<A> {
    /// Creates an empty table.
    pub fn new(limits: KeyLimits) -> Self {
        Self {
            limits,
            states: BTreeMap::new(),
            answers: AnswerCache::new(limits.max_answer_bytes),
            expired_before: 0,
            refused_through: 0,
        }
    }

    /// Binds `key`, unless it is already known or can't be accepted.
    pub fn bind(&mut self, key: Key, wall_ms: u64) -> KeyBindOutcome<A> {
        self.prune(wall_ms);
        match self.status(key) {
            KeyStatus::Unbound => {}
            KeyStatus::Expired => return KeyBindOutcome::Refused(KeyRefusal::TooOld),
            status => return KeyBindOutcome::Known(status),
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

    /// Records that the key's request is about to be sent to the backend server.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key is not queued. The request must then not be sent.
    pub fn start(&mut self, key: Key) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Start)
    }

    /// Records that the attempt was refused. The key never starts.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key is unknown or in a final state.
    pub fn refuse(&mut self, key: Key) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Refuse)
    }

    /// Records the complete answer, which takes `bytes` bytes in the cache.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key is not running.
    pub fn finish(&mut self, key: Key, answer: A, bytes: usize) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Finish)?;
        self.answers.add(key, answer, bytes);
        Ok(())
    }

    /// Records that no complete answer will arrive.
    ///
    /// # Errors
    ///
    /// Returns [`KeyTransitionError`] if the key is not running.
    pub fn fail(&mut self, key: Key, reason: impl Into<String>) -> Result<(), KeyTransitionError> {
        self.apply(key, KeyEvent::Fail(reason.into()))
    }

    /// Ensures that a key that has not started never will, and returns its status.
    pub fn tombstone(&mut self, key: Key, wall_ms: u64) -> KeyStatus<A> {
        self.prune(wall_ms);
        match self.status(key) {
            KeyStatus::Unbound => self.insert_tombstone(key, wall_ms),
            KeyStatus::Queued => self.states.extend([(key, KeyState::Tombstoned)]),
            _ => {}
        }
        self.status(key)
    }

    /// Returns the status of `key`.
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

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// Whether the table has no keys.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Returns the size of the cached answers in bytes.
    pub const fn answer_bytes(&self) -> usize {
        self.answers.bytes()
    }

    fn status_of_unknown(&self, key: Key) -> KeyStatus<A> {
        let created_ms = key.created_millis();
        if created_ms < self.expired_before {
            KeyStatus::Expired
        } else if created_ms <= self.refused_through {
            KeyStatus::NotRun
        } else {
            KeyStatus::Unbound
        }
    }

    fn is_full(&self) -> bool {
        self.states.len() >= self.limits.max_keys
    }

    fn insert_tombstone(&mut self, key: Key, wall_ms: u64) {
        if self.is_full() {
            self.refuse_unknown(key, wall_ms);
        } else {
            self.states.insert(key, KeyState::Tombstoned);
        }
    }

    /// Permanently refuses every unknown key created up to the creation time of `key`, without
    /// adding table entries. A key from the future is ignored, because it would block all other
    /// keys until its creation time has passed.
    fn refuse_unknown(&mut self, key: Key, wall_ms: u64) {
        if key.check_age(wall_ms, self.limits.window) != Err(KeyError::FromFuture) {
            self.refused_through = self.refused_through.max(key.created_millis());
        }
    }

    fn apply(&mut self, key: Key, event: KeyEvent) -> Result<(), KeyTransitionError> {
        let Some(state) = self.states.get_mut(&key) else {
            return Err(KeyTransitionError);
        };
        *state = state.next(event)?;
        Ok(())
    }

    /// Forgets keys in a final state that are older than the window plus the allowed clock skew.
    fn prune(&mut self, wall_ms: u64) {
        let max_age = self.limits.window + Key::MAX_SKEW;
        let max_age = u64::try_from(max_age.as_millis()).unwrap_or(u64::MAX);
        self.expired_before = self.expired_before.max(wall_ms.saturating_sub(max_age));
        let expired_before = self.expired_before;
        let expired: Vec<Key> = self
            .states
            .iter()
            .take_while(|(key, _)| key.created_millis() < expired_before)
            .filter(|(_, state)| !state.is_open())
            .map(|(key, _)| *key)
            .collect();
        for key in expired {
            self.states.remove(&key);
            self.answers.remove(key);
        }
    }
}

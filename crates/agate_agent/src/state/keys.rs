//! The idempotency keys of one incarnation and the requests that wait for their outcomes.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_bind::{KeyBindOutcome, KeyLimits, KeyRefusal, KeyStatus, KeyTable};
use agate_core::Key;
use agate_wire::message::{BackendResponse, Refusal};
use tokio::sync::watch;

/// Maximum age at which an unknown key is accepted.
const KEY_WINDOW: Duration = Duration::from_mins(15);

/// Maximum number of keys in the table.
const MAX_KEYS: usize = 200_000;

/// Maximum total size of stored answers.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// Outcome of one attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// The request ran; this is the complete answer.
    Done(BackendResponse),
    /// The request did not run and never will.
    Refused {
        /// Reason for the refusal.
        reason: Refusal,
        /// Suggested delay before a retry.
        retry: Duration,
    },
    /// The request may have run.
    Failed(String),
}

impl Outcome {
    /// Returns a refusal without a retry delay, for reasons where a delay would not help.
    pub(crate) const fn refused(reason: Refusal) -> Self {
        Self::Refused {
            reason,
            retry: Duration::ZERO,
        }
    }
}

/// Receives the outcome of an attempt once there is one.
pub(crate) type OutcomeReceiver = watch::Receiver<Option<Outcome>>;

/// Next step for a new attempt with a key.
#[derive(Debug)]
pub(crate) enum KeyStep {
    /// Run the attempt; the receiver gets its outcome.
    Run(OutcomeReceiver),
    /// Wait for the attempt in progress.
    Join(OutcomeReceiver),
    /// Do nothing: the outcome is known.
    Settled(Outcome),
}

/// The idempotency keys of one incarnation.
#[derive(Debug)]
pub(crate) struct Keys(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    table: KeyTable<BackendResponse>,
    in_flight: HashMap<Key, watch::Sender<Option<Outcome>>>,
}

impl Keys {
    pub(crate) fn new() -> Self {
        let limits = KeyLimits::builder()
            .window(KEY_WINDOW)
            .max_keys(MAX_KEYS)
            .max_answer_bytes(MAX_ANSWER_BYTES)
            .build();
        Self(Mutex::new(Inner {
            table: KeyTable::new(limits),
            in_flight: HashMap::new(),
        }))
    }

    /// Binds a key and returns the next step for the attempt.
    pub(crate) fn bind(&self, key: Key, wall_ms: u64) -> KeyStep {
        let mut inner = self.lock();
        match inner.table.bind(key, wall_ms) {
            KeyBindOutcome::New => {
                let (sender, receiver) = watch::channel(None);
                inner.in_flight.insert(key, sender);
                KeyStep::Run(receiver)
            }
            KeyBindOutcome::Known(key_status) => inner.step_for_known(key, key_status),
            KeyBindOutcome::Refused(refusal) => KeyStep::Settled(Outcome::refused(match refusal {
                // Such keys are not stored, so the refusal is certain for this attempt only.
                KeyRefusal::TooOld | KeyRefusal::FromFuture => Refusal::KeyTooOld,
                KeyRefusal::Full => Refusal::Full,
            })),
        }
    }

    /// Marks the key's request as running. Returns whether it may be sent to the backend server.
    pub(crate) fn start(&self, key: Key) -> bool {
        self.lock().table.start(key).is_ok()
    }

    /// Records the outcome of the key's attempt and notifies all waiting requests.
    pub(crate) fn settle(&self, key: Key, outcome: &Outcome) {
        let mut inner = self.lock();
        let settled = match outcome {
            Outcome::Done(answer) => {
                let bytes = answer.body.encoded_len();
                inner.table.finish(key, answer.clone(), bytes)
            }
            Outcome::Refused { .. } => inner.table.refuse(key),
            Outcome::Failed(reason) => inner.table.fail(key, reason.as_str()),
        };
        if settled.is_err() {
            // The key was tombstoned while its attempt was queued; waiting requests were notified
            // then.
            log::debug!(event = "key_settled_before", key:% = key; "");
        }
        inner.notify(key, outcome.clone());
    }

    /// Returns the status of a key.
    pub(crate) fn key_status(&self, key: Key) -> KeyStatus<BackendResponse> {
        self.lock().table.status(key)
    }

    /// Prevents a key that has not started from ever starting. Returns its status.
    pub(crate) fn tombstone(&self, key: Key, wall_ms: u64) -> KeyStatus<BackendResponse> {
        let mut inner = self.lock();
        let key_status = inner.table.tombstone(key, wall_ms);
        if key_status == KeyStatus::NotRun {
            inner.notify(key, Outcome::refused(Refusal::Tombstoned));
        }
        key_status
    }

    /// Returns a receiver for the outcome of the key's attempt in progress, if any.
    pub(crate) fn subscribe_outcome(&self, key: Key) -> Option<OutcomeReceiver> {
        self.lock()
            .in_flight
            .get(&key)
            .map(watch::Sender::subscribe)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn step_for_known(&self, key: Key, key_status: KeyStatus<BackendResponse>) -> KeyStep {
        if let Some(sender) = self.in_flight.get(&key) {
            return KeyStep::Join(sender.subscribe());
        }
        KeyStep::Settled(match key_status {
            KeyStatus::Done(answer) => Outcome::Done(answer),
            KeyStatus::Failed(reason) => Outcome::Failed(reason),
            KeyStatus::NotRun => Outcome::refused(Refusal::Tombstoned),
            KeyStatus::AnswerDropped => {
                Outcome::Failed("it ran; its answer is not held".to_owned())
            }
            KeyStatus::Queued | KeyStatus::Running | KeyStatus::Unbound | KeyStatus::Expired => {
                Outcome::Failed("what became of the key is not known".to_owned())
            }
        })
    }

    fn notify(&mut self, key: Key, outcome: Outcome) {
        if let Some(sender) = self.in_flight.remove(&key) {
            sender.send_replace(Some(outcome));
        }
    }
}

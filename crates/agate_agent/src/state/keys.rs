//! The keys of one incarnation and those who wait for them.

use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_bind::{KeyBindOutcome, KeyLimits, KeyRefusal, KeyStatus, KeyTable};
use agate_core::Key;
use agate_wire::message::{BackendResponse, Refusal};
use tokio::sync::watch;

/// Age up to which an unknown key is accepted.
const WINDOW: Duration = Duration::from_mins(15);

/// Keys remembered at once.
const MAX_KEYS: usize = 200_000;

/// Bytes of answers held at once.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;

/// How one attempt ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Outcome {
    /// It ran; this is the whole answer.
    Done(BackendResponse),
    /// It did not run and never will.
    Refused {
        /// Why.
        reason: Refusal,
        /// When it is worth coming back.
        retry: Duration,
    },
    /// It may have run.
    Failed(String),
}

impl Outcome {
    /// A refusal for which coming back at once makes no sense or no difference.
    pub(crate) const fn refused(reason: Refusal) -> Self {
        Self::Refused {
            reason,
            retry: Duration::ZERO,
        }
    }
}

/// The end of an attempt, for all who wait for it.
pub(crate) type Attempt = watch::Receiver<Option<Outcome>>;

/// What a new attempt with a key has to do.
#[derive(Debug)]
pub(crate) enum KeyStep {
    /// Run it; those who wait for it wait here.
    Run(Attempt),
    /// Wait for the attempt that is under way.
    Join(Attempt),
    /// Nothing: this is its outcome.
    Settled(Outcome),
}

/// The keys of one incarnation.
#[derive(Debug)]
pub(crate) struct Keys(Mutex<Inner>);

#[derive(Debug)]
struct Inner {
    table: KeyTable<BackendResponse>,
    open: HashMap<Key, watch::Sender<Option<Outcome>>>,
}

impl Keys {
    pub(crate) fn new() -> Self {
        let limits = KeyLimits::builder()
            .window(WINDOW)
            .max_keys(MAX_KEYS)
            .max_answer_bytes(MAX_ANSWER_BYTES)
            .build();
        Self(Mutex::new(Inner {
            table: KeyTable::new(limits),
            open: HashMap::new(),
        }))
    }

    /// Binds a key, or tells what has become of it.
    pub(crate) fn bind(&self, key: Key, wall_ms: u64) -> KeyStep {
        let mut inner = self.lock();
        match inner.table.bind(key, wall_ms) {
            KeyBindOutcome::New => {
                let (sender, receiver) = watch::channel(None);
                inner.open.insert(key, sender);
                KeyStep::Run(receiver)
            }
            KeyBindOutcome::Known(fate) => inner.known(key, fate),
            KeyBindOutcome::Refused(refusal) => KeyStep::Settled(Outcome::refused(match refusal {
                // Neither is remembered, so both prove it for this attempt only.
                KeyRefusal::TooOld | KeyRefusal::FromFuture => Refusal::KeyTooOld,
                KeyRefusal::Full => Refusal::Full,
            })),
        }
    }

    /// Whether the key's request may be sent to the backend server now; it then counts as running.
    pub(crate) fn start(&self, key: Key) -> bool {
        self.lock().table.start(key).is_ok()
    }

    /// Records the outcome of the attempt that ran the key, and tells all who wait for it.
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
            // The key was tombstoned while its attempt waited; those who wait were told then.
            log::debug!(event = "key_settled_before", key:% = key; "");
        }
        inner.tell(key, outcome.clone());
    }

    /// Tells what became of a key.
    pub(crate) fn fate(&self, key: Key) -> KeyStatus<BackendResponse> {
        self.lock().table.status(key)
    }

    /// Makes sure that a key that has not started never will, and tells what became of it.
    pub(crate) fn tombstone(&self, key: Key, wall_ms: u64) -> KeyStatus<BackendResponse> {
        let mut inner = self.lock();
        let fate = inner.table.tombstone(key, wall_ms);
        if fate == KeyStatus::NotRun {
            inner.tell(key, Outcome::refused(Refusal::Tombstoned));
        }
        fate
    }

    /// The attempt that is under way with the key, if any.
    pub(crate) fn attempt(&self, key: Key) -> Option<Attempt> {
        self.lock().open.get(&key).map(watch::Sender::subscribe)
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn known(&self, key: Key, fate: KeyStatus<BackendResponse>) -> KeyStep {
        if let Some(sender) = self.open.get(&key) {
            return KeyStep::Join(sender.subscribe());
        }
        KeyStep::Settled(match fate {
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

    fn tell(&mut self, key: Key, outcome: Outcome) {
        if let Some(sender) = self.open.remove(&key) {
            sender.send_replace(Some(outcome));
        }
    }
}

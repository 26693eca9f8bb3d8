//! The bindings that this entry has read.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{Key, Offset, clock};
use agate_records::{Body, DecodedBatch};
use agate_state::{KeyBinding, KeyBindings};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::entry::KEY_WINDOW;

/// Time for which a binder waits until its own record has been read.
const READ_TIME: Duration = Duration::from_secs(5);

/// Age of the last read of the end of the stream above which a key that is not in the table may be
/// bound all the same.
const MAX_AGE: Duration = Duration::from_secs(5);

/// The bindings that this entry has read, behind a lock that is never held across an await.
#[derive(Debug)]
pub(crate) struct KeyTable {
    inner: Mutex<Inner>,
    place: watch::Sender<Offset>,
}

#[derive(Debug)]
struct Inner {
    bindings: KeyBindings,
    tip: Option<watch::Receiver<Option<Instant>>>,
    /// When one whole window will have been read without a gap.
    whole: Instant,
}

impl KeyTable {
    /// Starts with nothing read.
    pub(crate) fn new() -> Self {
        let inner = Inner {
            bindings: KeyBindings::new(KEY_WINDOW),
            tip: None,
            whole: Instant::now(),
        };
        Self {
            inner: Mutex::new(inner),
            place: watch::Sender::new(Offset::START),
        }
    }

    /// Begins to read the stream from its oldest record.
    pub(crate) fn begin(&self, tip: watch::Receiver<Option<Instant>>) {
        self.lock().tip = Some(tip);
    }

    /// Notes that records were missed: the table is whole again once every key that they could
    /// have bound is past its window.
    pub(crate) fn missed(&self) {
        self.lock().whole = Instant::now() + KEY_WINDOW + Key::MAX_SKEW;
    }

    /// Takes over what was read.
    pub(crate) fn apply(&self, batch: &DecodedBatch) {
        let now = clock::wall_millis();
        let mut inner = self.lock();
        for placed in &batch.records {
            if let Body::KeyBound(bound) = &placed.record.body {
                inner.bindings.apply(placed.position, bound, now);
            }
        }
        inner.bindings.prune(now);
        drop(inner);
        self.place.send_replace(batch.offset);
    }

    /// What `key` is bound to, as far as this entry has read.
    pub(crate) fn get(&self, key: Key) -> Option<KeyBinding> {
        self.lock().bindings.get(key)
    }

    /// Whether a key that is not in the table was not bound a short while ago.
    pub(crate) fn is_whole(&self) -> bool {
        let inner = self.lock();
        let tip = inner.tip.as_ref().and_then(|tip| *tip.borrow());
        inner.whole <= Instant::now() && tip.is_some_and(|tip| tip.elapsed() <= MAX_AGE)
    }

    /// Waits until everything up to `place` has been read; `false` if that takes too long.
    pub(crate) async fn read_past(&self, place: Offset) -> bool {
        let mut read = self.place.subscribe();
        let passed = timeout(READ_TIME, read.wait_for(|read| *read >= place)).await;
        matches!(passed, Ok(Ok(_)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // The table is whole between any two of its calls, so a panic elsewhere leaves it usable.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

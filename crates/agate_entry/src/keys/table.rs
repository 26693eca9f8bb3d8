//! The key bindings read so far.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{Key, Offset, clock};
use agate_records::{Body, DecodedBatch};
use agate_state::{KeyBinding, KeyBindings};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::entry::KEY_WINDOW;

/// Time limit for waiting until a newly written record has been read.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Age of the last read of the end of the stream above which a key missing from the table may
/// nevertheless be bound.
const MAX_AGE: Duration = Duration::from_secs(5);

/// The key bindings read so far, behind a lock that is never held across an await.
#[derive(Debug)]
pub(crate) struct KeyTable {
    inner: Mutex<Inner>,
    read_offset: watch::Sender<Offset>,
}

#[derive(Debug)]
struct Inner {
    bindings: KeyBindings,
    tip: Option<watch::Receiver<Option<Instant>>>,
    /// Time at which a whole key window has been read without a gap.
    complete_at: Instant,
}

impl KeyTable {
    /// Creates an empty table.
    pub(crate) fn new() -> Self {
        let inner = Inner {
            bindings: KeyBindings::new(KEY_WINDOW),
            tip: None,
            complete_at: Instant::now(),
        };
        Self {
            inner: Mutex::new(inner),
            read_offset: watch::Sender::new(Offset::START),
        }
    }

    /// Sets the source of the time of the last read that reached the end, before reading starts.
    pub(crate) fn set_tip(&self, tip: watch::Receiver<Option<Instant>>) {
        self.lock().tip = Some(tip);
    }

    /// Records that records were missed. The table is complete again once every key that they could
    /// have bound has expired.
    pub(crate) fn mark_gap(&self) {
        self.lock().complete_at = Instant::now() + KEY_WINDOW + Key::MAX_SKEW;
    }

    /// Applies the bindings in a batch.
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
        self.read_offset.send_replace(batch.offset);
    }

    /// Returns the binding of `key`, if it has been read.
    pub(crate) fn get(&self, key: Key) -> Option<KeyBinding> {
        self.lock().bindings.get(key)
    }

    /// Returns whether a key missing from the table can be taken as unbound until shortly before
    /// now.
    pub(crate) fn is_complete(&self) -> bool {
        let inner = self.lock();
        let tip = inner.tip.as_ref().and_then(|tip| *tip.borrow());
        inner.complete_at <= Instant::now() && tip.is_some_and(|tip| tip.elapsed() <= MAX_AGE)
    }

    /// Waits until everything up to `offset` has been read. Returns `false` on timeout.
    pub(crate) async fn wait_until_read(&self, offset: Offset) -> bool {
        let mut read = self.read_offset.subscribe();
        let passed = timeout(READ_TIMEOUT, read.wait_for(|read| *read >= offset)).await;
        matches!(passed, Ok(Ok(_)))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // Each operation leaves the table consistent, so it stays usable after a panic.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

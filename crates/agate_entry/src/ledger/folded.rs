//! The folded state, shared by all tasks of this entry.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Offset;
use agate_log::Recorded;
use agate_records::DecodedBatch;
use agate_state::{BatchEffect, Effect, RecentEffects, State, StateLimits};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::clock::SuspendClock;

/// Batches whose effects are kept for waiting writers.
const RECENT_BATCHES: usize = 4_096;

/// Time limit for a writer to wait until its record has been folded.
const FOLD_TIMEOUT: Duration = Duration::from_secs(5);

/// The folded state behind a lock that is never held across an await.
#[derive(Debug)]
pub(crate) struct Folded {
    suspend: SuspendClock,
    inner: Mutex<Inner>,
    /// Offset of the last folded append.
    applied_offset: watch::Sender<Offset>,
}

/// Start time of the last read that reached the end of the log.
#[derive(Debug)]
pub(crate) struct Tip {
    pub(crate) reads: watch::Receiver<Option<Instant>>,
    /// Time for which the machine had been suspended before any of these reads.
    pub(crate) suspended: Duration,
}

#[derive(Debug)]
struct Inner {
    state: State,
    recent: RecentEffects,
    /// Start time of the last read that reached the end of the log; `None` before recovery.
    tip: Option<watch::Receiver<Option<Instant>>>,
    /// Time for which the machine had been suspended when that read began, or earlier.
    suspended: Duration,
}

impl Folded {
    /// Creates an empty state.
    pub(crate) fn new() -> Self {
        let inner = Inner {
            state: State::new(StateLimits::default()),
            recent: RecentEffects::new(RECENT_BATCHES),
            tip: None,
            suspended: Duration::ZERO,
        };
        Self {
            suspend: SuspendClock::start(),
            inner: Mutex::new(inner),
            applied_offset: watch::Sender::new(Offset::START),
        }
    }

    /// Installs a state rebuilt from the log.
    pub(crate) fn install(&self, state: State, tip: Tip) {
        let applied_offset = state.last_applied();
        let mut inner = self.lock();
        inner.state = state;
        inner.tip = Some(tip.reads);
        inner.suspended = tip.suspended;
        drop(inner);
        self.applied_offset.send_replace(applied_offset);
    }

    /// Marks the state as stale until it is rebuilt.
    pub(crate) fn mark_stale(&self) {
        self.lock().tip = None;
    }

    /// Folds a batch. Waiting writers are woken by [`Self::notify_folded`].
    pub(crate) fn apply(&self, batch: &DecodedBatch) -> BatchEffect {
        let mut inner = self.lock();
        let effect = inner.state.apply_batch(batch);
        if let Some(id) = batch.id {
            inner.recent.record(id, &effect);
        }
        effect
    }

    /// Wakes the writers that wait for an append up to `offset`.
    pub(crate) fn notify_folded(&self, offset: Offset) {
        self.applied_offset.send_replace(offset);
    }

    /// Runs `work` on the state.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.lock().state)
    }

    /// Returns the time for which the machine has been suspended so far.
    pub(crate) fn suspended(&self) -> Duration {
        self.suspend.suspended()
    }

    /// Records how long the machine had been suspended when the last read that reached the end
    /// began.
    pub(crate) fn set_suspended(&self, suspended: Duration) {
        self.lock().suspended = suspended;
    }

    /// Returns the age of the state: the time since the start of the last read that reached the end
    /// of the log, including suspensions of the machine. Returns `None` if the log has not been
    /// read or the state is stale.
    pub(crate) fn age(&self) -> Option<Duration> {
        let inner = self.lock();
        let tip = *inner.tip.as_ref()?.borrow();
        let suspended = self.suspend.suspended().saturating_sub(inner.suspended);
        Some(tip?.elapsed() + suspended)
    }

    /// Waits until the state has been rebuilt from the log. Returns `false` on timeout.
    ///
    /// Effects are known only for records that are folded after the rebuild; a record written
    /// earlier may be part of the rebuilt state.
    pub(crate) async fn wait_until_rebuilt(&self) -> bool {
        let mut applied_offset = self.applied_offset.subscribe();
        let rebuilt = applied_offset.wait_for(|_| self.lock().tip.is_some());
        timeout(FOLD_TIMEOUT, rebuilt)
            .await
            .is_ok_and(|folded| folded.is_ok())
    }

    /// Waits until the fold has passed `recorded` and returns the effects of its `count` records.
    /// Returns `None` on timeout or if an effect is no longer kept.
    pub(crate) async fn wait_for_effects(
        &self,
        recorded: Recorded,
        count: u32,
    ) -> Option<Vec<Effect>> {
        let mut applied_offset = self.applied_offset.subscribe();
        let passed = applied_offset.wait_for(|folded| *folded >= recorded.offset);
        timeout(FOLD_TIMEOUT, passed).await.ok()?.ok()?;
        let inner = self.lock();
        let indices = recorded.index..recorded.index + count;
        indices
            .map(|index| inner.recent.get(recorded.batch, index).cloned())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic while folding is a bug, reported when the task restarts; readers continue with
        // the folded state.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

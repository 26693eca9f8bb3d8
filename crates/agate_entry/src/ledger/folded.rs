//! The folded state, shared by every task of this entry.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Offset;
use agate_log::Recorded;
use agate_records::DecodedBatch;
use agate_state::{BatchEffect, Effect, RecentEffects, State, StateLimits};
use tokio::sync::watch;
use tokio::time::{Instant, timeout};

use crate::clock::SuspendClock;

/// Batches whose effects are remembered for the writers that wait for them.
const RECENT_BATCHES: usize = 4_096;

/// Time for which a writer waits until its own record has been folded.
const FOLD_TIME: Duration = Duration::from_secs(5);

/// The folded state behind a lock that is never held across an await.
#[derive(Debug)]
pub(crate) struct Folded {
    suspend: SuspendClock,
    inner: Mutex<Inner>,
    /// The last append folded.
    place: watch::Sender<Offset>,
}

/// Tells when the last read that reached the end of the log began.
#[derive(Debug)]
pub(crate) struct Tip {
    pub(crate) reads: watch::Receiver<Option<Instant>>,
    /// For how long the machine had been suspended before any of these reads.
    pub(crate) suspended: Duration,
}

#[derive(Debug)]
struct Inner {
    state: State,
    recent: RecentEffects,
    /// Tells when the last read that reached the end of the log began; none before recovery.
    tip: Option<watch::Receiver<Option<Instant>>>,
    /// For how long the machine had been suspended when that read began, or earlier.
    suspended: Duration,
}

impl Folded {
    /// Starts with nothing folded.
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
            place: watch::Sender::new(Offset::START),
        }
    }

    /// Takes over a state that was rebuilt from the log.
    pub(crate) fn install(&self, state: State, tip: Tip) {
        let place = state.last_applied();
        let mut inner = self.lock();
        inner.state = state;
        inner.tip = Some(tip.reads);
        inner.suspended = tip.suspended;
        drop(inner);
        self.place.send_replace(place);
    }

    /// Stops vouching for the state until it is rebuilt.
    pub(crate) fn distrust(&self) {
        self.lock().tip = None;
    }

    /// Folds a batch. Writers that wait for it hear of it by [`Self::announce`].
    pub(crate) fn apply(&self, batch: &DecodedBatch) -> BatchEffect {
        let mut inner = self.lock();
        let effect = inner.state.apply_batch(batch);
        if let Some(id) = batch.id {
            inner.recent.record(id, &effect);
        }
        effect
    }

    /// Wakes the writers that wait for an append up to `place`.
    pub(crate) fn announce(&self, place: Offset) {
        self.place.send_replace(place);
    }

    /// Runs `work` on the state.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut State) -> T) -> T {
        work(&mut self.lock().state)
    }

    /// For how long the machine has been suspended so far.
    pub(crate) fn suspended(&self) -> Duration {
        self.suspend.suspended()
    }

    /// Notes how long the machine had been suspended before the read began that is now the last
    /// one to have reached the end.
    pub(crate) fn note_suspended(&self, suspended: Duration) {
        self.lock().suspended = suspended;
    }

    /// Age of the state: the time since the start of the last read that reached the end of the
    /// log, suspensions of the machine included. `None` if the log has not been read, or the state
    /// can't be vouched for.
    pub(crate) fn age(&self) -> Option<Duration> {
        let inner = self.lock();
        let tip = *inner.tip.as_ref()?.borrow();
        let suspended = self.suspend.suspended().saturating_sub(inner.suspended);
        Some(tip?.elapsed() + suspended)
    }

    /// Waits until the state has been rebuilt from the log. `false` if that takes too long.
    ///
    /// What a record did is known only of those that are folded after that: a record that is
    /// written earlier may be part of the rebuilt state.
    pub(crate) async fn is_rebuilt(&self) -> bool {
        let mut place = self.place.subscribe();
        let rebuilt = place.wait_for(|_| self.lock().tip.is_some());
        timeout(FOLD_TIME, rebuilt)
            .await
            .is_ok_and(|place| place.is_ok())
    }

    /// Waits until the fold has passed `recorded`, and tells what the record at `index` after it
    /// did. `None` if the fold does not get there in time.
    pub(crate) async fn effects(&self, recorded: Recorded, count: u32) -> Option<Vec<Effect>> {
        let mut place = self.place.subscribe();
        let passed = place.wait_for(|place| *place >= recorded.offset);
        timeout(FOLD_TIME, passed).await.ok()?.ok()?;
        let inner = self.lock();
        let indices = recorded.index..recorded.index + count;
        indices
            .map(|index| inner.recent.get(recorded.batch, index).cloned())
            .collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        // A panic inside the fold is a bug that its task reports when it is restarted; readers
        // go on with what was folded.
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

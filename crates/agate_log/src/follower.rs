//! Follows a stream from an offset.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_records::DecodedBatch;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::backoff::Backoff;
use crate::{LogStore, Page, Stream};

/// Polling and retries of a follower.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct FollowSettings {
    /// Time that a read waits for new appends. [`Follower::caught_up_at`] lags the last response by
    /// up to this much, so it must be well below the shortest lease.
    #[builder(default = Duration::from_millis(500))]
    pub poll_timeout: Duration,
    /// Delay after the first failed read.
    #[builder(default = Duration::from_millis(50))]
    pub initial_backoff: Duration,
    /// Maximum delay after a failed read.
    #[builder(default = Duration::from_secs(1))]
    pub max_backoff: Duration,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// Result of a read by a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum FollowEvent {
    /// The next appends in order; empty if the read timed out.
    Batches(Vec<DecodedBatch>),
    /// Appends expired before the follower read them. The consumer must load a snapshot and
    /// continue from there.
    Gap {
        /// Offset that was to be read next.
        wanted: Offset,
        /// Offset of the oldest retained append.
        earliest: Offset,
    },
    /// The stream ends before the last offset that was read: the log has lost appends. The consumer
    /// must stop acting on its state.
    Rewound {
        /// Offset that was to be read next.
        wanted: Offset,
        /// Offset of the newest append in the log.
        end: Offset,
    },
}

/// Follows a stream. While the log is down, it retries indefinitely with backoff.
#[derive(Debug)]
pub struct Follower {
    store: Arc<dyn LogStore>,
    stream: Stream,
    settings: FollowSettings,
    next: Offset,
    backoff: Backoff,
    /// Start of the read that reached the end of the stream and is not yet known to be applied.
    pending_catch_up: Option<Instant>,
    caught_up_at: watch::Sender<Option<Instant>>,
}

impl Follower {
    /// Creates a follower of `stream` that starts at the offset `next`.
    pub fn new(
        store: Arc<dyn LogStore>,
        stream: Stream,
        next: Offset,
        settings: FollowSettings,
    ) -> Self {
        Self {
            store,
            stream,
            settings,
            next,
            backoff: Backoff::new(settings.initial_backoff, settings.max_backoff),
            pending_catch_up: None,
            caught_up_at: watch::Sender::new(None),
        }
    }

    /// Returns the offset that is read next.
    pub const fn position(&self) -> Offset {
        self.next
    }

    /// Returns the start of the last read that reached the end of the stream and whose batches have
    /// been applied. Every record that the log contained at that time has been applied.
    pub fn caught_up_at(&self) -> watch::Receiver<Option<Instant>> {
        self.caught_up_at.subscribe()
    }

    /// Continues at another offset, for example after a snapshot was loaded.
    pub fn seek(&mut self, next: Offset) {
        self.next = next;
        self.pending_catch_up = None;
    }

    /// Reads the next appends. Calling this confirms that the consumer has applied the result of
    /// the previous call. The future is cancel-safe: dropping it loses no appends.
    pub async fn next(&mut self, rng: &mut impl Rng) -> FollowEvent {
        self.publish_caught_up();
        loop {
            let started = Instant::now();
            let read = self.store.read(self.stream, self.next, self.poll_timeout());
            match read.await {
                Ok(page) => {
                    self.backoff.reset();
                    return self.process_page(&page, started);
                }
                Err(error) => {
                    let stream = self.stream;
                    log::warn!(event = "follow_failed", stream:%, cause:% = error; "");
                    let delay = self.backoff.next_delay(rng);
                    sleep(delay).await;
                }
            }
        }
    }

    /// Returns whether the last call reached the end of the stream.
    pub(crate) const fn has_reached_end(&self) -> bool {
        self.pending_catch_up.is_some()
    }

    /// Returns the time that a read waits; zero until the follower has caught up once.
    fn poll_timeout(&self) -> Duration {
        if self.caught_up_at.borrow().is_none() && !self.has_reached_end() {
            return Duration::ZERO;
        }
        self.settings.poll_timeout
    }

    fn publish_caught_up(&mut self) {
        if let Some(started) = self.pending_catch_up.take() {
            self.caught_up_at.send_replace(Some(started));
        }
    }

    fn process_page(&mut self, page: &Page, started: Instant) -> FollowEvent {
        let wanted = self.next;
        if page.end.next() < wanted {
            return FollowEvent::Rewound {
                wanted,
                end: page.end,
            };
        }
        if page.earliest > wanted.max(Offset(1)) {
            return FollowEvent::Gap {
                wanted,
                earliest: page.earliest,
            };
        }
        let decode = |entry: &crate::LogEntry| DecodedBatch::decode(entry.offset, &entry.data);
        let batches: Vec<DecodedBatch> = page.entries.iter().map(decode).collect();
        if let Some(last) = batches.last() {
            self.next = last.offset.next();
        }
        if self.next > page.end {
            self.pending_catch_up = Some(started);
        }
        FollowEvent::Batches(batches)
    }
}

//! Follows a stream from an offset on.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_records::DecodedBatch;
use rand::Rng;
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use crate::backoff::Backoff;
use crate::{LogStore, Page, Stream};

/// How a stream is followed.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct FollowSettings {
    /// Time for which a read waits for something new. The tip is up to this much older than the
    /// last answer, so it must be well below the shortest lease.
    #[builder(default = Duration::from_millis(500))]
    pub wait: Duration,
    /// The first pause after a failed read.
    #[builder(default = Duration::from_millis(50))]
    pub first_pause: Duration,
    /// The longest pause after a failed read.
    #[builder(default = Duration::from_secs(1))]
    pub longest_pause: Duration,
}

impl Default for FollowSettings {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// What a read brought.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Followed {
    /// The next appends in order; none if nothing new came in time.
    Batches(Vec<DecodedBatch>),
    /// Retention has passed the follower: what it wanted is gone. The consumer must load a
    /// snapshot and follow from there.
    Gap {
        /// What the follower wanted next.
        wanted: Offset,
        /// The oldest append still kept.
        earliest: Offset,
    },
    /// The stream ends before what was read already: the log has lost appends. The consumer must
    /// not act on its state any more.
    Rewound {
        /// What the follower wanted next.
        wanted: Offset,
        /// The newest append that the log holds.
        end: Offset,
    },
}

/// Follows a stream. It never gives up; while the log is down, it pauses and tries again.
#[derive(Debug)]
pub struct Follower {
    store: Arc<dyn LogStore>,
    stream: Stream,
    settings: FollowSettings,
    next: Offset,
    backoff: Backoff,
    /// Start of the read whose answer reached the end and has not been applied yet.
    reached: Option<Instant>,
    tip: watch::Sender<Option<Instant>>,
}

impl Follower {
    /// Follows `stream` from the offset `next` on.
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
            backoff: Backoff::new(settings.first_pause, settings.longest_pause),
            reached: None,
            tip: watch::Sender::new(None),
        }
    }

    /// The offset that is read next.
    pub const fn position(&self) -> Offset {
        self.next
    }

    /// The start of the last read that reached the end of the stream and whose batches have been
    /// applied. Every record that stood in the log at that moment is applied.
    pub fn tip(&self) -> watch::Receiver<Option<Instant>> {
        self.tip.subscribe()
    }

    /// Goes on at another offset, after a snapshot was loaded.
    pub fn seek(&mut self, next: Offset) {
        self.next = next;
        self.reached = None;
    }

    /// Reads what comes next. By calling this, the consumer says that it has applied what the last
    /// call returned. It may be dropped while it waits; nothing is lost by that.
    pub async fn next(&mut self, rng: &mut impl Rng) -> Followed {
        self.publish_tip();
        loop {
            let started = Instant::now();
            let read = self.store.read(self.stream, self.next, self.wait());
            match read.await {
                Ok(page) => {
                    self.backoff.reset();
                    return self.take(&page, started);
                }
                Err(error) => {
                    let stream = self.stream;
                    log::warn!(event = "follow_failed", stream:%, cause:% = error; "");
                    let pause = self.backoff.pause(rng);
                    sleep(pause).await;
                }
            }
        }
    }

    /// Whether the last call returned everything up to the end of the stream.
    pub(crate) const fn has_reached_end(&self) -> bool {
        self.reached.is_some()
    }

    /// A follower that has not caught up yet does not wait.
    fn wait(&self) -> Duration {
        if self.tip.borrow().is_none() && !self.has_reached_end() {
            return Duration::ZERO;
        }
        self.settings.wait
    }

    fn publish_tip(&mut self) {
        if let Some(reached) = self.reached.take() {
            self.tip.send_replace(Some(reached));
        }
    }

    fn take(&mut self, page: &Page, started: Instant) -> Followed {
        let wanted = self.next;
        if page.end.next() < wanted {
            return Followed::Rewound {
                wanted,
                end: page.end,
            };
        }
        if page.earliest > wanted.max(Offset(1)) {
            return Followed::Gap {
                wanted,
                earliest: page.earliest,
            };
        }
        let decode = |entry: &crate::Entry| DecodedBatch::decode(entry.offset, &entry.data);
        let batches: Vec<DecodedBatch> = page.entries.iter().map(decode).collect();
        if let Some(last) = batches.last() {
            self.next = last.offset.next();
        }
        if self.next > page.end {
            self.reached = Some(started);
        }
        Followed::Batches(batches)
    }
}

//! Writes one group at a time and determines its outcome.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_records::{BatchId, DecodedBatch};
use rand::Rng;
use tokio::time::{Instant, sleep, timeout_at};

use super::batch::{AppendOutcome, Group, NotRecordedReason, Recorded};
use super::settings::AppendSettings;
use crate::backoff::Backoff;
use crate::{LogStore, Page, StoreError, Stream};

/// An offset past every append. A read from here returns the end of a stream without its contents.
const PAST_END: Offset = Offset(u64::MAX);

/// Whether the log contains a copy of the group.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presence {
    /// No copy is in the log or in flight.
    Absent,
    /// A copy may be in the log or still in flight.
    Possible,
    /// A copy is at or before this offset.
    Present(Offset),
}

/// Result of a search for a batch.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum SearchResult {
    Found(Offset),
    /// The stream was read to its end without finding the batch.
    NotFound,
    /// The stream could not be read, or part of the searched range has expired.
    Inconclusive,
}

#[derive(Debug)]
pub(crate) struct Writer {
    store: Arc<dyn LogStore>,
    stream: Stream,
    settings: AppendSettings,
    /// Last known end of the stream; the next group can only be after it.
    known_end: Option<Offset>,
    /// Whether the last group failed and the log has not responded since.
    is_down: bool,
}

impl Writer {
    pub(crate) const fn new(
        store: Arc<dyn LogStore>,
        stream: Stream,
        settings: AppendSettings,
    ) -> Self {
        Self {
            store,
            stream,
            settings,
            known_end: None,
            is_down: false,
        }
    }

    /// Retries a group until it is recorded or its deadline passes.
    pub(crate) async fn write(&mut self, group: &Group, rng: &mut impl Rng) -> AppendOutcome {
        let deadline = group.queued_at + self.settings.timeout;
        let mut backoff = Backoff::new(self.settings.initial_backoff, self.settings.max_backoff);
        let mut presence = Presence::Absent;
        while Instant::now() < deadline {
            let mut delay = backoff.next_delay(rng);
            match self.attempt(group, &mut presence, deadline).await {
                Ok(()) => {}
                Err(StoreError::Busy(wait)) => delay = delay.max(wait),
                Err(error) => self.log_failure(group.id, &error),
            }
            if let Presence::Present(offset) = presence {
                return self.succeed(group, offset);
            }
            // After a group has failed, later groups fail fast for the rest of the outage.
            let fail_fast = self.is_down && presence == Presence::Absent;
            if fail_fast || delay >= deadline.saturating_duration_since(Instant::now()) {
                break;
            }
            sleep(delay).await;
        }
        self.fail(group, presence)
    }

    /// Makes one attempt: searches for a copy if there may be one, and appends the group if not
    /// found.
    async fn attempt(
        &mut self,
        group: &Group,
        presence: &mut Presence,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        let known_end = self.load_known_end(deadline).await?;
        if *presence == Presence::Possible {
            match self.search(group.id, known_end, deadline).await {
                SearchResult::Found(offset) => {
                    *presence = Presence::Present(offset);
                    return Ok(());
                }
                SearchResult::NotFound => {}
                SearchResult::Inconclusive => return Ok(()),
            }
        }
        let append = self.store.append(self.stream, group.data.clone());
        match with_deadline(deadline, append).await {
            Ok(offset) => *presence = Presence::Present(offset),
            Err(error) => {
                if error.may_have_taken_effect() {
                    *presence = Presence::Possible;
                }
                return Err(error);
            }
        }
        Ok(())
    }

    /// Returns an end of the stream from before the group was sent, reading it if unknown.
    async fn load_known_end(&mut self, deadline: Instant) -> Result<Offset, StoreError> {
        if let Some(known_end) = self.known_end {
            return Ok(known_end);
        }
        let read = self.store.read(self.stream, PAST_END, Duration::ZERO);
        let page = with_deadline(deadline, read).await?;
        self.known_end = Some(page.end);
        self.is_down = false;
        Ok(page.end)
    }

    /// Searches the stream after `known_end` for the batch.
    async fn search(&self, id: BatchId, known_end: Offset, deadline: Instant) -> SearchResult {
        let mut from = known_end.next();
        loop {
            let read = self.store.read(self.stream, from, Duration::ZERO);
            let Ok(page) = with_deadline(deadline, read).await else {
                return SearchResult::Inconclusive;
            };
            if let Some(offset) = find_batch(&page, id) {
                return SearchResult::Found(offset);
            }
            if page.earliest > from {
                return SearchResult::Inconclusive;
            }
            let Some(last) = page.entries.last() else {
                return SearchResult::NotFound;
            };
            if last.offset >= page.end {
                return SearchResult::NotFound;
            }
            from = last.offset.next();
        }
    }

    fn succeed(&mut self, group: &Group, offset: Offset) -> AppendOutcome {
        self.known_end = Some(offset);
        self.is_down = false;
        AppendOutcome::Recorded(Recorded {
            batch: group.id,
            offset,
            index: 0,
        })
    }

    fn fail(&mut self, group: &Group, presence: Presence) -> AppendOutcome {
        // Makes the next group read the end of the stream first, so that nothing is sent before
        // the log responds again.
        self.known_end = None;
        self.is_down = true;
        let (stream, batch) = (self.stream, group.id);
        if presence == Presence::Absent {
            log::warn!(event = "append_not_recorded", stream:%, batch:%; "");
            return AppendOutcome::NotRecorded {
                reason: NotRecordedReason::Down,
                retry_after: self.settings.retry_after,
            };
        }
        log::warn!(event = "append_unknown", stream:%, batch:%; "");
        AppendOutcome::Unknown
    }

    fn log_failure(&self, batch: BatchId, error: &StoreError) {
        let stream = self.stream;
        log::info!(event = "append_attempt_failed", stream:%, batch:%, cause:% = error; "");
    }
}

/// Bounds a call by the deadline. A call that times out may have taken effect.
async fn with_deadline<T>(
    deadline: Instant,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match timeout_at(deadline, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::Unanswered("the deadline passed".to_owned())),
    }
}

fn find_batch(page: &Page, id: BatchId) -> Option<Offset> {
    let mut entries = page.entries.iter();
    let entry = entries.find(|entry| DecodedBatch::decode_id(&entry.data) == Some(id))?;
    Some(entry.offset)
}

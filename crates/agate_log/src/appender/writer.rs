//! Writes one group at a time and settles its outcome.

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

/// An offset past every append, to learn the end of a stream without reading it.
const PAST_END: Offset = Offset(u64::MAX);

/// What is known about an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Knowledge {
    /// No copy can stand in the log.
    Absent,
    /// A copy may stand in the log or still arrive there.
    Possible,
    /// A copy stands at or before this offset.
    Present(Offset),
}

/// What a search found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Search {
    Found(Offset),
    /// The stream was read to its end.
    NotFound,
    /// The stream could not be read, or no longer reaches back far enough.
    Undecided,
}

#[derive(Debug)]
pub(crate) struct Writer {
    store: Arc<dyn LogStore>,
    stream: Stream,
    settings: AppendSettings,
    /// An offset before which the next group can't stand.
    mark: Option<Offset>,
    /// Whether the last group was given up.
    down: bool,
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
            mark: None,
            down: false,
        }
    }

    /// Writes a group until it is recorded or its time is over.
    pub(crate) async fn write(&mut self, group: &Group, rng: &mut impl Rng) -> AppendOutcome {
        let deadline = group.queued + self.settings.give_up;
        let mut backoff = Backoff::new(self.settings.first_pause, self.settings.longest_pause);
        let mut knowledge = Knowledge::Absent;
        while Instant::now() < deadline {
            let mut pause = backoff.pause(rng);
            match self.step(group, &mut knowledge, deadline).await {
                Ok(()) => {}
                Err(StoreError::Busy(wait)) => pause = pause.max(wait),
                Err(error) => self.report(group.id, &error),
            }
            if let Knowledge::Present(offset) = knowledge {
                return self.recorded(group, offset);
            }
            // After one group was given up, the next ones don't wait for the same outage again.
            let hopeless = self.down && knowledge == Knowledge::Absent;
            if hopeless || Instant::now() + pause >= deadline {
                break;
            }
            sleep(pause).await;
        }
        self.give_up(group, knowledge)
    }

    /// Makes one attempt: looks for a copy that may be there, and appends one if there is none.
    async fn step(
        &mut self,
        group: &Group,
        knowledge: &mut Knowledge,
        deadline: Instant,
    ) -> Result<(), StoreError> {
        let mark = self.find_mark(deadline).await?;
        if *knowledge == Knowledge::Possible {
            match self.search(group.id, mark, deadline).await {
                Search::Found(offset) => {
                    *knowledge = Knowledge::Present(offset);
                    return Ok(());
                }
                Search::NotFound => {}
                Search::Undecided => return Ok(()),
            }
        }
        let append = self.store.append(self.stream, group.data.clone());
        match in_time(deadline, append).await {
            Ok(offset) => *knowledge = Knowledge::Present(offset),
            Err(error) => {
                if error.may_have_effect() {
                    *knowledge = Knowledge::Possible;
                }
                return Err(error);
            }
        }
        Ok(())
    }

    /// The end of the stream before the group was sent.
    async fn find_mark(&mut self, deadline: Instant) -> Result<Offset, StoreError> {
        if let Some(mark) = self.mark {
            return Ok(mark);
        }
        let read = self.store.read(self.stream, PAST_END, Duration::ZERO);
        let page = in_time(deadline, read).await?;
        self.mark = Some(page.end);
        self.down = false;
        Ok(page.end)
    }

    /// Reads everything after `mark` for the batch.
    async fn search(&self, id: BatchId, mark: Offset, deadline: Instant) -> Search {
        let mut from = mark.next();
        loop {
            let read = self.store.read(self.stream, from, Duration::ZERO);
            let Ok(page) = in_time(deadline, read).await else {
                return Search::Undecided;
            };
            if let Some(offset) = find(&page, id) {
                return Search::Found(offset);
            }
            if page.earliest > from {
                return Search::Undecided;
            }
            let Some(last) = page.entries.last() else {
                return Search::NotFound;
            };
            if last.offset >= page.end {
                return Search::NotFound;
            }
            from = last.offset.next();
        }
    }

    fn recorded(&mut self, group: &Group, offset: Offset) -> AppendOutcome {
        self.mark = Some(offset);
        self.down = false;
        AppendOutcome::Recorded(Recorded {
            batch: group.id,
            offset,
            index: 0,
        })
    }

    fn give_up(&mut self, group: &Group, knowledge: Knowledge) -> AppendOutcome {
        // The next group first asks for the end of the stream, which shows whether the log is
        // back before anything is sent.
        self.mark = None;
        self.down = true;
        let (stream, batch) = (self.stream, group.id);
        if knowledge == Knowledge::Absent {
            log::warn!(event = "append_not_recorded", stream:%, batch:%; "");
            return AppendOutcome::NotRecorded {
                reason: NotRecordedReason::Down,
                retry_after: self.settings.retry_after,
            };
        }
        log::warn!(event = "append_unknown", stream:%, batch:%; "");
        AppendOutcome::Unknown
    }

    fn report(&self, batch: BatchId, error: &StoreError) {
        let stream = self.stream;
        log::info!(event = "append_attempt_failed", stream:%, batch:%, cause:% = error; "");
    }
}

/// Bounds a call by the deadline; a call that is cut off may have taken effect.
async fn in_time<T>(
    deadline: Instant,
    call: impl Future<Output = Result<T, StoreError>>,
) -> Result<T, StoreError> {
    match timeout_at(deadline, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::Unanswered("the time is over".to_owned())),
    }
}

fn find(page: &Page, id: BatchId) -> Option<Offset> {
    let mut entries = page.entries.iter();
    let entry = entries.find(|entry| DecodedBatch::decode_id(&entry.data) == Some(id))?;
    Some(entry.offset)
}

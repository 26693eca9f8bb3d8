//! Writes snapshots well before records expire.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_records::{Body, DecodedBatch, SnapshotId, SnapshotPart};
use agate_state::State;
use displaydoc::Display;
use rand::Rng;

use crate::{AppendOutcome, Appender, LogStore, StoreError, Stream};

/// An offset past every append, to learn the end of a stream without reading it.
const PAST_END: Offset = Offset(u64::MAX);
/// Bytes of items in one part.
const PART_BYTES: usize = 128 * 1024;

/// Why no snapshot was written.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SnapshotError {
    /// the stream of snapshots can't be read: {0}
    Read(StoreError),
    /// a part of the snapshot was not recorded
    NotRecorded,
}

impl std::error::Error for SnapshotError {}

/// Writes snapshots unless another process has done so lately.
///
/// Call [`SnapshotWriter::is_due`] at intervals of at most an eighth of the log's retention. A
/// snapshot is then written at least every second interval, whichever processes come and go. Two
/// writers at once do no harm.
#[derive(Debug)]
pub struct SnapshotWriter {
    store: Arc<dyn LogStore>,
    appender: Appender,
    /// The snapshot that was the newest one when this was asked last.
    seen: Option<SnapshotId>,
}

/// A snapshot that has been taken and not yet written.
#[derive(Debug)]
pub struct PendingSnapshot {
    appender: Appender,
    parts: Vec<SnapshotPart>,
}

impl SnapshotWriter {
    /// Prepares writing. `appender` must be one of [`Stream::Snap`].
    pub const fn new(store: Arc<dyn LogStore>, appender: Appender) -> Self {
        Self {
            store,
            appender,
            seen: None,
        }
    }

    /// Whether no other process has written a whole snapshot since this was asked last.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Read`] if the stream can't be read.
    pub async fn is_due(&mut self) -> Result<bool, SnapshotError> {
        let newest = self.newest_whole().await.map_err(SnapshotError::Read)?;
        let due = newest.is_none() || newest == self.seen;
        self.seen = newest;
        Ok(due)
    }

    /// Takes a snapshot of `state`, to be written while the state goes on.
    pub fn take(&mut self, state: &State, rng: &mut impl Rng) -> PendingSnapshot {
        let id = SnapshotId::random(rng);
        self.seen = Some(id);
        PendingSnapshot {
            appender: self.appender.clone(),
            parts: state.snapshot_parts(id, PART_BYTES),
        }
    }

    /// The snapshot that the last append of the stream completes.
    async fn newest_whole(&self) -> Result<Option<SnapshotId>, StoreError> {
        let end = self.read(PAST_END).await?.end;
        if end == Offset::START {
            return Ok(None);
        }
        let page = self.read(end).await?;
        let Some(entry) = page.entries.last() else {
            return Ok(None);
        };
        Ok(completed_by(&DecodedBatch::decode(
            entry.offset,
            &entry.data,
        )))
    }

    async fn read(&self, from: Offset) -> Result<crate::Page, StoreError> {
        self.store.read(Stream::Snap, from, Duration::ZERO).await
    }
}

fn completed_by(batch: &DecodedBatch) -> Option<SnapshotId> {
    let Body::SnapshotPart(part) = &batch.records.last()?.record.body else {
        return None;
    };
    (part.part + 1 == part.parts).then_some(part.snapshot)
}

impl PendingSnapshot {
    /// Writes the parts one after another.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::NotRecorded`] if a part could not be written. What was written
    /// is no whole snapshot and does no harm.
    pub async fn write(self) -> Result<(), SnapshotError> {
        for part in self.parts {
            let outcome = self.appender.append(vec![part.into()]).await;
            if !matches!(outcome, AppendOutcome::Recorded(_)) {
                return Err(SnapshotError::NotRecorded);
            }
        }
        Ok(())
    }
}

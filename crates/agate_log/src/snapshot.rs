//! Writes periodic snapshots, well before records expire.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_records::{Body, DecodedBatch, SnapshotId, SnapshotPart};
use agate_state::State;
use displaydoc::Display;
use rand::Rng;

use crate::{AppendOutcome, Appender, LogStore, StoreError, Stream};

/// An offset past every append. A read from here returns the end of a stream without its contents.
const PAST_END: Offset = Offset(u64::MAX);
/// Maximum size of the items in one part; a larger single item makes a part of its own.
const MAX_PART_BYTES: usize = 128 * 1024;

/// Why a snapshot was not written.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SnapshotError {
    /// could not read the snapshot stream: {0}
    Read(StoreError),
    /// a part of the snapshot was not recorded
    NotRecorded,
}

impl std::error::Error for SnapshotError {}

/// Writes snapshots unless another process has done so recently.
///
/// Call [`SnapshotWriter::is_due`] at intervals of at most an eighth of the log's retention. A
/// snapshot is then written at least every second interval, even if processes start and stop.
/// Concurrent writers are harmless.
#[derive(Debug)]
pub struct SnapshotWriter {
    store: Arc<dyn LogStore>,
    appender: Appender,
    /// Newest complete snapshot at the last check, or the last one taken by this writer.
    last_seen: Option<SnapshotId>,
}

/// A snapshot that was taken but not yet written.
#[derive(Debug)]
pub struct PendingSnapshot {
    appender: Appender,
    parts: Vec<SnapshotPart>,
}

impl SnapshotWriter {
    /// Creates a writer. `appender` must append to [`Stream::Snap`].
    pub const fn new(store: Arc<dyn LogStore>, appender: Appender) -> Self {
        Self {
            store,
            appender,
            last_seen: None,
        }
    }

    /// Returns whether no other process has completed a snapshot since the last call.
    ///
    /// # Errors
    ///
    /// Returns [`SnapshotError::Read`] if the stream can't be read.
    pub async fn is_due(&mut self) -> Result<bool, SnapshotError> {
        let newest = self.newest_complete().await.map_err(SnapshotError::Read)?;
        let due = newest.is_none() || newest == self.last_seen;
        self.last_seen = newest;
        Ok(due)
    }

    /// Takes a snapshot of `state`, which may change while the snapshot is written.
    pub fn take(&mut self, state: &State, rng: &mut impl Rng) -> PendingSnapshot {
        let id = SnapshotId::random(rng);
        self.last_seen = Some(id);
        PendingSnapshot {
            appender: self.appender.clone(),
            parts: state.snapshot_parts(id, MAX_PART_BYTES),
        }
    }

    /// Returns the snapshot that the last append of the stream completes.
    async fn newest_complete(&self) -> Result<Option<SnapshotId>, StoreError> {
        let end = self.read(PAST_END).await?.end;
        if end == Offset::START {
            return Ok(None);
        }
        let page = self.read(end).await?;
        let Some(entry) = page.entries.last() else {
            return Ok(None);
        };
        Ok(completed_snapshot(&DecodedBatch::decode(
            entry.offset,
            &entry.data,
        )))
    }

    async fn read(&self, from: Offset) -> Result<crate::Page, StoreError> {
        self.store.read(Stream::Snap, from, Duration::ZERO).await
    }
}

fn completed_snapshot(batch: &DecodedBatch) -> Option<SnapshotId> {
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
    /// Returns [`SnapshotError::NotRecorded`] if a part could not be written. The incomplete
    /// snapshot is ignored by readers.
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

//! The platform's log as seen by the processes: streams of keyed records.

mod load;
mod metered;
mod paged;
mod stream;

use std::fmt::Debug;
use std::time::Duration;

use agate_core::PageSize;
use async_trait::async_trait;
use displaydoc::Display;

pub use load::Load;
pub use metered::MeteredLog;
pub use paged::PagedLog;
pub use stream::{ORDER_STREAMS, Stream, order_stream};

/// A stored record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Position in the stream, counted from zero.
    pub offset: u64,
    /// The key. Only the newest record of a key has to be kept.
    pub key: String,
    /// The contents; empty in a tombstone.
    pub value: Vec<u8>,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Consecutive records from the requested offset on, as many as fit.
    pub records: Vec<StoredRecord>,
    /// Offset of the next record to be appended.
    pub end: u64,
}

/// The newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NewestRecords {
    /// The records, ordered by offset; all are before `end`.
    pub records: Vec<StoredRecord>,
    /// Offset from which to continue reading.
    pub end: u64,
}

/// Fencing token of a stream's only writer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// Epoch of the writer. A writer with a higher epoch fences out those with lower ones.
    pub epoch: u64,
    /// Sequence number of the append within the epoch.
    pub sequence: u64,
}

/// Why records may not have been appended.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum AppendError {
    /// nothing was appended: {0}
    NotDone(String),
    /// unknown whether the records were appended: {0}
    Unknown(String),
    /// a writer with a higher epoch has taken over the stream
    Fenced,
    /// out of sequence; the next append has number {0}
    OutOfSequence(u64),
}

impl std::error::Error for AppendError {}

/// Why a read failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReadError {
    /// the log did not answer: {0}
    Unavailable(String),
    /// the records at the requested offset have been deleted
    Deleted,
}

impl std::error::Error for ReadError {}

/// Calls to the log. Implementations don't retry.
#[async_trait]
pub trait KeyedLog: Debug + Send + Sync {
    /// Appends all or none of `records` and returns the offset after the last. Without records it
    /// only fences out writers of lower epochs.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError`] unless the records are known to have been appended.
    async fn append(
        &self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        fence: Option<Fence>,
    ) -> Result<u64, AppendError>;

    /// Reads from the offset `from` on. If there is no record yet, waits up to `wait` for an
    /// append. The page has about `max_bytes` at most, or a single record.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the log returns no page.
    async fn read_page(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<Page, ReadError>;

    /// Reads a page of any size.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if the log returns no page.
    async fn read(&self, stream: Stream, from: u64, wait: Duration) -> Result<Page, ReadError> {
        let max_bytes = PageSize::MAX_BYTES;
        self.read_page(stream, from, wait, max_bytes).await
    }

    /// Returns the number of order streams, the same for every process.
    fn order_streams(&self) -> u16 {
        ORDER_STREAMS
    }

    /// Returns whether calls currently go through another process.
    fn is_relayed(&self) -> bool {
        false
    }

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if a page of the result is missing.
    async fn newest(&self, stream: Stream) -> Result<NewestRecords, ReadError>;

    /// Reads the newest record of each key that begins with `prefix`. Unlike the result of
    /// [`Self::newest`], which later reads complete, this is a consistent view as of a moment during the
    /// call. The prefix consists of letters, digits and `/`, `-`, `_` and `.`.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if a page of the result is missing, or if records were appended between two
    /// pages.
    async fn newest_with_prefix(
        &self,
        stream: Stream,
        prefix: &str,
    ) -> Result<NewestRecords, ReadError>;
}

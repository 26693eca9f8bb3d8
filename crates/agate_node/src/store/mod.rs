//! The platform's log as the processes use it: lanes of keyed records.

mod stream;

use std::fmt::Debug;
use std::time::Duration;

use async_trait::async_trait;
use displaydoc::Display;

pub use stream::{ORDER_STREAMS, Stream, order_stream};

/// One record as it is kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredRecord {
    /// Its place in the lane, counted from zero.
    pub offset: u64,
    /// The key under which the newest record is kept.
    pub key: String,
    /// The contents; empty if the record drops the key.
    pub value: Vec<u8>,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Page {
    /// Records from the wanted offset on, without gaps, as far as they fit.
    pub records: Vec<StoredRecord>,
    /// The offset of the next record that will be appended.
    pub end: u64,
}

/// The newest record of each key.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct NewestRecords {
    /// The records, in the order of their offsets; none is at or after `end`.
    pub records: Vec<StoredRecord>,
    /// The offset from which to read on.
    pub end: u64,
}

/// Identity under which a single writer appends to a lane.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Fence {
    /// A writer with a higher epoch shuts out all with lower ones.
    pub epoch: u64,
    /// Number of the append within the epoch.
    pub sequence: u64,
}

/// Why an append is not known to be on record.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum AppendError {
    /// nothing was appended: {0}
    NotDone(String),
    /// it is not known whether the records were appended: {0}
    Unknown(String),
    /// a writer with a higher epoch has taken over the lane
    Fenced,
    /// another append has this number; the next is {0}
    OutOfSequence(u64),
}

impl std::error::Error for AppendError {}

/// Why a read gave no page.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ReadError {
    /// the log gave no answer: {0}
    Unavailable(String),
    /// records at the wanted offset have been deleted
    Deleted,
}

impl std::error::Error for ReadError {}

/// Calls to the log. An implementation makes each call at most once.
#[async_trait]
pub trait KeyedLog: Debug + Send + Sync {
    /// Appends records, all or none, and returns the offset after the last. Without records it only
    /// shuts out writers of lower epochs.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError`] unless the records are known to be on record.
    async fn append(
        &self,
        lane: Stream,
        records: &[(String, Vec<u8>)],
        fence: Option<Fence>,
    ) -> Result<u64, AppendError>;

    /// Reads from the offset `from` on. If nothing is there yet, waits up to `wait` for an append.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if there is no page.
    async fn read(&self, lane: Stream, from: u64, wait: Duration) -> Result<Page, ReadError>;

    /// Reads the newest record of each key.
    ///
    /// # Errors
    ///
    /// Returns [`ReadError`] if a page is missing.
    async fn newest(&self, lane: Stream) -> Result<NewestRecords, ReadError>;
}

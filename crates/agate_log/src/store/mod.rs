//! Interface to the platform's log.

mod http;
mod response;

use std::fmt::Debug;
use std::time::Duration;

use agate_core::Offset;
use async_trait::async_trait;
use bytes::Bytes;
use displaydoc::Display;
use strum::{EnumIter, IntoStaticStr};

pub use http::{HttpSettings, HttpStore};

/// A stream of the log.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    EnumIter,
    IntoStaticStr,
    strum::Display,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Stream {
    /// Presets, withdrawals, jobs, runs and lost members.
    Main,
    /// Bindings of idempotency keys.
    Keys,
    /// Snapshots of the state folded from the main stream.
    Snap,
}

/// An append as read from a stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LogEntry {
    /// Offset in the stream.
    pub offset: Offset,
    /// Contents of the append.
    pub data: Bytes,
}

/// Response to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest retained append; one above `end` if none is retained.
    pub earliest: Offset,
    /// Offset of the newest append; [`Offset::START`] if there was none.
    pub end: Offset,
    /// Contiguous appends from the requested offset, up to the size limit of a page.
    pub entries: Vec<LogEntry>,
}

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreError {
    /// could not connect to the log: {0}
    Unreachable(String),
    /// the log accepts no appends for {0:?}
    Busy(Duration),
    /// the log refused the call: {0}
    Refused(String),
    /// no valid response from the log: {0}
    Unanswered(String),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Returns whether the call may have taken effect despite the error.
    pub const fn may_have_taken_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Busy(_) | Self::Refused(_) => false,
            Self::Unanswered(_) => true,
        }
    }
}

/// A client of the log. Implementations send each call at most once and never retry it.
#[async_trait]
pub trait LogStore: Debug + Send + Sync {
    /// Appends `data` to `stream`.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`]; see [`StoreError::may_have_taken_effect`] for whether the log may
    /// contain the append nevertheless.
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, StoreError>;

    /// Reads `stream` from the offset `from`. If there are no appends yet, waits up to `wait` for
    /// one.
    ///
    /// # Errors
    ///
    /// Returns a [`StoreError`] if the read fails.
    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, StoreError>;
}

//! The platform's log as this crate uses it.

mod answer;
mod http;

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

/// One append as it is read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Its place in the stream.
    pub offset: Offset,
    /// Its contents.
    pub data: Bytes,
}

/// Answer to a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// The oldest append still kept; one above `end` if none is.
    pub earliest: Offset,
    /// The newest append; [`Offset::START`] if there was none.
    pub end: Offset,
    /// Appends from the wanted offset on without gaps, as far as they fit.
    pub entries: Vec<Entry>,
}

/// Why a call to the log failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StoreError {
    /// no connection to the log could be made: {0}
    Unreachable(String),
    /// the log takes no more appends for {0:?}
    Busy(Duration),
    /// the log refused the call: {0}
    Refused(String),
    /// the log gave no answer of its own: {0}
    Unanswered(String),
}

impl std::error::Error for StoreError {}

impl StoreError {
    /// Whether the call may have taken effect in spite of the error.
    pub const fn may_have_effect(&self) -> bool {
        match self {
            Self::Unreachable(_) | Self::Busy(_) | Self::Refused(_) => false,
            Self::Unanswered(_) => true,
        }
    }
}

/// Calls to the log. An implementation makes each call at most once and never repeats it by
/// itself.
#[async_trait]
pub trait LogStore: Debug + Send + Sync {
    /// Appends `data` to `stream`.
    ///
    /// # Errors
    ///
    /// Returns why there is no offset; [`StoreError::may_have_effect`] tells whether the append
    /// may stand in the log nevertheless.
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, StoreError>;

    /// Reads `stream` from the offset `from` on. If nothing is there yet, waits up to `wait` for
    /// an append.
    ///
    /// # Errors
    ///
    /// Returns why there is no page.
    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, StoreError>;
}

//! The log itself: offsets, retention and the append rate limit.

mod rate;
mod stream;

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{Moment, Offset};
use bytes::Bytes;
use displaydoc::Display;

use rate::RateLimit;
use stream::Stream;

/// Limits of the log service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// How long an append is retained.
    pub retention: Duration,
    /// Appends accepted per second, across all streams.
    pub appends_per_second: u32,
}

/// One append as returned by a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Position in the stream.
    pub offset: Offset,
    /// Payload.
    pub data: Bytes,
}

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Page {
    /// Offset of the oldest retained append; `end + 1` if none is retained.
    pub earliest: Offset,
    /// Offset of the newest append; [`Offset::START`] if there was none.
    pub end: Offset,
    /// Appends from the requested offset on, up to the size limit.
    pub entries: Vec<Entry>,
}

/// Error of a rejected append.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AppendError {
    /// append rate limit exceeded, retry in {wait:?}
    OverLimit {
        /// Time until the next append is accepted.
        wait: Duration,
    },
}

impl std::error::Error for AppendError {}

/// An in-memory append-only log of named streams.
#[derive(Debug)]
pub struct Log {
    retention: Duration,
    rate: RateLimit,
    streams: BTreeMap<String, Stream>,
}

impl Log {
    /// Creates an empty log.
    pub fn new(limits: Limits) -> Self {
        Self {
            retention: limits.retention,
            rate: RateLimit::new(limits.appends_per_second),
            streams: BTreeMap::new(),
        }
    }

    /// Appends `data` to `stream`, creating the stream on its first append.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::OverLimit`] if the append rate limit is exceeded.
    pub fn append(
        &mut self,
        stream: &str,
        data: Bytes,
        now: Moment,
    ) -> Result<Offset, AppendError> {
        if let Err(wait) = self.rate.try_acquire(now) {
            return Err(AppendError::OverLimit { wait });
        }
        let stream = self.streams.entry(stream.to_owned()).or_default();
        Ok(stream.append(data, now))
    }

    /// Reads `stream` from offset `from` on: at most `max_bytes`, but at least one append if there
    /// is one.
    pub fn read(&mut self, stream: &str, from: Offset, max_bytes: usize, now: Moment) -> Page {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Stream::default().read(from, max_bytes);
        };
        stream.expire(self.retention, now);
        stream.read(from, max_bytes)
    }
}

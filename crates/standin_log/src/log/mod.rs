//! The rules of the log: offsets, retention and the limit on appends.

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
    /// Time for which an append is kept.
    pub retention: Duration,
    /// Appends accepted each second over all streams.
    pub appends_per_second: u32,
}

/// One append as a reader gets it.
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
    /// Appends from the wanted offset on, as far as they fit.
    pub entries: Vec<Entry>,
}

/// Why an append is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum AppendError {
    /// the log takes no more appends for {wait:?}
    OverLimit {
        /// Time until the next append is accepted.
        wait: Duration,
    },
}

impl std::error::Error for AppendError {}

/// An append-only log of named streams.
#[derive(Debug)]
pub struct Log {
    retention: Duration,
    rate: RateLimit,
    streams: BTreeMap<String, Stream>,
}

impl Log {
    /// Starts an empty log.
    pub fn new(limits: Limits) -> Self {
        Self {
            retention: limits.retention,
            rate: RateLimit::new(limits.appends_per_second),
            streams: BTreeMap::new(),
        }
    }

    /// Appends `data` to `stream`, which comes into being by its first append.
    ///
    /// # Errors
    ///
    /// Returns [`AppendError::OverLimit`] if too many appends were made in the last second.
    pub fn append(
        &mut self,
        stream: &str,
        data: Bytes,
        now: Moment,
    ) -> Result<Offset, AppendError> {
        if let Err(wait) = self.rate.take(now) {
            return Err(AppendError::OverLimit { wait });
        }
        let stream = self.streams.entry(stream.to_owned()).or_default();
        Ok(stream.append(data, now))
    }

    /// Reads `stream` from the offset `from` on, up to `max_bytes` but at least one append.
    pub fn read(&mut self, stream: &str, from: Offset, max_bytes: usize, now: Moment) -> Page {
        let Some(stream) = self.streams.get_mut(stream) else {
            return Stream::default().read(from, max_bytes);
        };
        stream.expire(self.retention, now);
        stream.read(from, max_bytes)
    }
}

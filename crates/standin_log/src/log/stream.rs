//! One stream of the log.

use std::collections::VecDeque;
use std::time::Duration;

use agate_core::{Moment, Offset};
use bytes::Bytes;

use super::{Entry, Page};

#[derive(Debug)]
struct Stored {
    data: Bytes,
    appended_at: Moment,
}

/// The retained appends of a stream, oldest first.
#[derive(Debug, Default)]
pub(crate) struct Stream {
    /// Number of expired appends, which equals the offset of the last expired one.
    expired: u64,
    stored: VecDeque<Stored>,
}

impl Stream {
    pub(crate) fn append(&mut self, data: Bytes, appended_at: Moment) -> Offset {
        self.stored.push_back(Stored { data, appended_at });
        self.end()
    }

    /// Removes every append older than `retention`.
    pub(crate) fn expire(&mut self, retention: Duration, now: Moment) {
        while let Some(oldest) = self.stored.front() {
            if now.since(oldest.appended_at) <= retention {
                return;
            }
            self.stored.pop_front();
            self.expired += 1;
        }
    }

    pub(crate) fn read(&self, from: Offset, max_bytes: usize) -> Page {
        let earliest = Offset(self.expired + 1);
        let first = from.max(earliest);
        let skipped = usize::try_from(first.0 - earliest.0).unwrap_or(usize::MAX);
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut offset = first;
        for stored in self.stored.iter().skip(skipped) {
            bytes += stored.data.len();
            if bytes > max_bytes && !entries.is_empty() {
                break;
            }
            entries.push(Entry {
                offset,
                data: stored.data.clone(),
            });
            offset = offset.next();
        }
        Page {
            earliest,
            end: self.end(),
            entries,
        }
    }

    fn end(&self) -> Offset {
        Offset(self.expired + self.stored.len() as u64)
    }
}

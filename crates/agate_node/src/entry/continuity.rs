//! Tracks for how long a stream has been read without interruption.

use std::time::Duration;

use agate_core::Moment;

/// Longest time between two reads without an interruption: a long poll and its delays.
const MAX_GAP: Duration = Duration::from_millis(1_600);

/// When the end of a stream was reached.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct ReadContinuity {
    since: Moment,
    last: Moment,
    has_read: bool,
}

impl ReadContinuity {
    /// Records a read that began at `began`, ended at `now` and reached the end of the stream.
    pub fn record_end(&mut self, began: Moment, now: Moment) {
        if !self.has_read || now.since(self.last) > MAX_GAP {
            self.since = now;
        }
        self.has_read = true;
        self.last = self.last.max(began).max(now);
    }

    /// Returns when the end was last reached.
    pub const fn last_end(&self) -> Moment {
        self.last
    }

    /// Returns since when the stream has been read without interruption; `now` if it currently
    /// isn't.
    pub fn unbroken_since(&self, now: Moment) -> Moment {
        if self.has_read && now.since(self.last) <= MAX_GAP {
            self.since
        } else {
            now
        }
    }
}

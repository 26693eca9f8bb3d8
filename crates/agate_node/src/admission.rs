//! Decides whether a caller's records are appended or refused at once.
//!
//! Answers the load that arises while the log takes fewer appends than the entries offer, for
//! example when each append takes 190 ms. The log then rejects an append only after that time, and
//! a caller that can't be served would be held for nothing.

use std::time::Duration;

use tokio::time::Instant;

/// Time for which callers are refused at once after a slow rejection. Then one append probes the
/// log.
const PAUSE: Duration = Duration::from_millis(500);

/// Duration above which a rejection counts as slow. A log that refuses just this process answers
/// sooner, and a retry costs its callers little.
const SLOW_REJECTION: Duration = Duration::from_millis(80);

/// Result of an append, as far as admission depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum AppendResult {
    /// The records are recorded.
    Recorded,
    /// The log rejected the records after this time.
    Rejected(Duration),
    /// It is not known whether the records are recorded.
    Unknown,
}

/// Admission of callers' records.
#[derive(Debug, Default)]
pub(crate) struct Admission {
    paused_until: Option<Instant>,
    probing: bool,
}

impl Admission {
    /// Returns whether records that arrive at `now` are appended. After a pause only one caller's
    /// are, until the log has answered.
    pub(crate) fn admits(&mut self, now: Instant) -> bool {
        let Some(until) = self.paused_until else {
            return true;
        };
        if now < until || self.probing {
            return false;
        }
        self.probing = true;
        true
    }

    /// Applies the result of an append that ended at `now`.
    pub(crate) fn record_result(&mut self, result: AppendResult, now: Instant) {
        match result {
            AppendResult::Rejected(took) if took >= SLOW_REJECTION => {
                self.paused_until = Some(now + PAUSE);
                self.probing = false;
            }
            AppendResult::Recorded => *self = Self::default(),
            // Says nothing about the log's queue; the next caller may probe it.
            AppendResult::Rejected(_) | AppendResult::Unknown => self.probing = false,
        }
    }
}

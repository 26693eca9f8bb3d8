//! Submissions, groups of submissions and their outcomes.

use std::time::Duration;

use agate_core::Offset;
use agate_records::{Batch, BatchId, Record};
use bytes::Bytes;
use displaydoc::Display;
use strum::{EnumIter, IntoStaticStr};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Location of appended records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recorded {
    /// Id of their batch, used to look up their effects.
    pub batch: BatchId,
    /// Offset at or before which the batch is stored. Once this offset is folded, the effects of
    /// the records are known.
    pub offset: Offset,
    /// Index of the first of the records within the batch.
    pub index: u32,
}

/// Why records were not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRecordedReason {
    /// the buffer of pending records is full
    Full,
    /// the records exceed the size limit of an append
    TooLarge,
    /// the log was unreachable or accepted no append
    Down,
}

/// Outcome of an append.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log contains the records.
    Recorded(Recorded),
    /// The log does not contain the records and never will.
    NotRecorded {
        /// Reason why they were not recorded.
        reason: NotRecordedReason,
        /// Suggested time before a retry.
        retry_after: Duration,
    },
    /// The log may contain the records.
    Unknown,
}

/// Records submitted together by one caller.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) records: Vec<Record>,
    pub(crate) bytes: usize,
    pub(crate) queued_at: Instant,
    pub(crate) reply: oneshot::Sender<AppendOutcome>,
}

/// Submissions that are written as one append.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) id: BatchId,
    pub(crate) data: Bytes,
    /// Time at which the first submission was queued.
    pub(crate) queued_at: Instant,
    waiters: Vec<Waiter>,
}

/// The caller of a submission, waiting for the outcome.
#[derive(Debug)]
struct Waiter {
    index: u32,
    reply: oneshot::Sender<AppendOutcome>,
}

impl Group {
    /// Creates a group from at least one submission, oldest first.
    pub(crate) fn new(id: BatchId, submissions: Vec<Submission>) -> Self {
        let queued_at = submissions
            .first()
            .map_or_else(Instant::now, |first| first.queued_at);
        let mut records = Vec::new();
        let mut waiters = Vec::with_capacity(submissions.len());
        for submission in submissions {
            waiters.push(Waiter {
                index: u32::try_from(records.len()).unwrap_or(u32::MAX),
                reply: submission.reply,
            });
            records.extend(submission.records);
        }
        let data = Batch { id, records }.encode().into();
        Self {
            id,
            data,
            queued_at,
            waiters,
        }
    }

    /// Sends the outcome to the caller of every submission.
    pub(crate) fn complete(self, outcome: AppendOutcome) {
        for waiter in self.waiters {
            let outcome = match outcome {
                AppendOutcome::Recorded(recorded) => AppendOutcome::Recorded(Recorded {
                    index: waiter.index,
                    ..recorded
                }),
                AppendOutcome::NotRecorded { .. } | AppendOutcome::Unknown => outcome,
            };
            if waiter.reply.send(outcome).is_err() {
                log::debug!(event = "append_answer_unwanted", batch:% = self.id; "");
            }
        }
    }
}

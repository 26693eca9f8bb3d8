//! Submissions, the groups they form and their outcomes.

use std::time::Duration;

use agate_core::Offset;
use agate_records::{Batch, BatchId, Record};
use bytes::Bytes;
use displaydoc::Display;
use strum::{EnumIter, IntoStaticStr};
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Where appended records stand.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Recorded {
    /// Id of their batch, by which their effects are looked up.
    pub batch: BatchId,
    /// An offset at or before which the batch stands. Once the fold has passed it, the effects of
    /// the records are known.
    pub offset: Offset,
    /// Index of the first of the records within the batch.
    pub index: u32,
}

/// Why records are not recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum NotRecordedReason {
    /// the buffer of records that wait for the log is full
    Full,
    /// the records are larger than one append may be
    TooLarge,
    /// the log could not be reached or took nothing
    Down,
}

/// What became of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AppendOutcome {
    /// The log holds them.
    Recorded(Recorded),
    /// The log does not hold them and never will.
    NotRecorded {
        /// Why.
        reason: NotRecordedReason,
        /// When it is worth coming back.
        retry_after: Duration,
    },
    /// The log may hold them.
    Unknown,
}

/// Records that were handed over together.
#[derive(Debug)]
pub(crate) struct Submission {
    pub(crate) records: Vec<Record>,
    pub(crate) bytes: usize,
    pub(crate) queued: Instant,
    pub(crate) answer: oneshot::Sender<AppendOutcome>,
}

/// Submissions that go out as one append.
#[derive(Debug)]
pub(crate) struct Group {
    pub(crate) id: BatchId,
    pub(crate) data: Bytes,
    /// When the first of the submissions was queued.
    pub(crate) queued: Instant,
    waiting: Vec<Waiting>,
}

/// One submission of a group that waits for the outcome.
#[derive(Debug)]
struct Waiting {
    index: u32,
    answer: oneshot::Sender<AppendOutcome>,
}

impl Group {
    /// Forms a group of at least one submission, oldest first.
    pub(crate) fn new(id: BatchId, submissions: Vec<Submission>) -> Self {
        let queued = submissions
            .first()
            .map_or_else(Instant::now, |first| first.queued);
        let mut records = Vec::new();
        let mut waiting = Vec::with_capacity(submissions.len());
        for submission in submissions {
            waiting.push(Waiting {
                index: u32::try_from(records.len()).unwrap_or(u32::MAX),
                answer: submission.answer,
            });
            records.extend(submission.records);
        }
        let data = Batch { id, records }.encode().into();
        Self {
            id,
            data,
            queued,
            waiting,
        }
    }

    /// Answers every submission.
    pub(crate) fn answer(self, outcome: AppendOutcome) {
        for waiting in self.waiting {
            let outcome = match outcome {
                AppendOutcome::Recorded(recorded) => AppendOutcome::Recorded(Recorded {
                    index: waiting.index,
                    ..recorded
                }),
                AppendOutcome::NotRecorded { .. } | AppendOutcome::Unknown => outcome,
            };
            if waiting.answer.send(outcome).is_err() {
                log::debug!(event = "append_answer_unwanted", batch:% = self.id; "");
            }
        }
    }
}

//! Grouped appends with a settled outcome.

mod batch;
mod queue;
mod settings;
mod task;
mod writer;

use std::sync::Arc;

use agate_core::clock::wall_millis;
use agate_records::{Body, Record};
use tokio::sync::oneshot;
use tokio::time::Instant;

use batch::Submission;
pub use batch::{AppendOutcome, NotRecordedReason, Recorded};
use queue::Queue;
pub use settings::AppendSettings;
pub use task::AppenderTask;

use crate::{LogStore, Stream};

/// Queues records for a stream. Clones share one queue.
#[derive(Debug, Clone)]
pub struct Appender {
    settings: AppendSettings,
    queue: Queue,
}

impl Appender {
    /// Makes a queue, and the task that must run for it.
    pub fn new(
        store: Arc<dyn LogStore>,
        stream: Stream,
        settings: AppendSettings,
    ) -> (Self, AppenderTask) {
        let (queue, receiver) = Queue::new(settings.buffer_bytes);
        let task = AppenderTask::new(store, stream, settings, receiver);
        (Self { settings, queue }, task)
    }

    /// Appends records together and in order, and waits for the outcome.
    ///
    /// Full buffers and records that don't fit into one append are refused at once. Dropping the
    /// returned future does not take the records back.
    pub async fn append(&self, bodies: Vec<Body>) -> AppendOutcome {
        let wall_ms = wall_millis();
        let record = |body| Record { wall_ms, body };
        let records: Vec<Record> = bodies.into_iter().map(record).collect();
        let bytes = records.iter().map(Record::encoded_len).sum();
        if bytes > self.settings.batch_bytes {
            return self.refusal(NotRecordedReason::TooLarge);
        }
        let (answer, outcome) = oneshot::channel();
        let submission = Submission {
            records,
            bytes,
            queued: Instant::now(),
            answer,
        };
        if let Err(reason) = self.queue.push(submission) {
            return self.refusal(reason);
        }
        // Without an answer the task has ended, perhaps while it was writing.
        outcome.await.unwrap_or(AppendOutcome::Unknown)
    }

    const fn refusal(&self, reason: NotRecordedReason) -> AppendOutcome {
        AppendOutcome::NotRecorded {
            reason,
            retry_after: self.settings.retry_after,
        }
    }
}

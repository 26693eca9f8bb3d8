//! Grouped appends that report their outcome.

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

/// Queues records for a stream. Clones share the same queue.
#[derive(Debug, Clone)]
pub struct Appender {
    settings: AppendSettings,
    queue: Queue,
}

impl Appender {
    /// Creates an appender and the task that must run to write its records.
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
    /// Returns immediately if the buffer is full or the records don't fit into one append. Dropping
    /// the returned future does not withdraw the records.
    pub async fn append(&self, bodies: Vec<Body>) -> AppendOutcome {
        let wall_ms = wall_millis();
        let record = |body| Record { wall_ms, body };
        let records: Vec<Record> = bodies.into_iter().map(record).collect();
        let bytes = records.iter().map(Record::encoded_len).sum();
        if bytes > self.settings.batch_bytes {
            return self.not_recorded(NotRecordedReason::TooLarge);
        }
        let (reply, outcome) = oneshot::channel();
        let submission = Submission {
            records,
            bytes,
            queued_at: Instant::now(),
            reply,
        };
        if let Err(reason) = self.queue.push(submission) {
            return self.not_recorded(reason);
        }
        // Without a reply the task has ended, possibly during the write.
        outcome.await.unwrap_or(AppendOutcome::Unknown)
    }

    const fn not_recorded(&self, reason: NotRecordedReason) -> AppendOutcome {
        AppendOutcome::NotRecorded {
            reason,
            retry_after: self.settings.retry_after,
        }
    }
}

//! The bounded queue between callers and the writing task.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout_at};

use super::batch::{NotRecordedReason, Submission};
use super::settings::AppendSettings;

/// Sending end of the queue, bounded by the total size of pending submissions.
#[derive(Debug, Clone)]
pub(crate) struct Queue {
    capacity: Arc<Semaphore>,
    sender: mpsc::UnboundedSender<QueuedSubmission>,
}

/// Receiving end of the queue, which collects submissions into groups.
#[derive(Debug)]
pub(crate) struct Receiver {
    receiver: mpsc::UnboundedReceiver<QueuedSubmission>,
    /// A submission that did not fit into the last group.
    carry_over: Option<QueuedSubmission>,
}

/// A submission and its share of the queue's capacity.
#[derive(Debug)]
struct QueuedSubmission {
    submission: Submission,
    _permit: OwnedSemaphorePermit,
}

impl Queue {
    pub(crate) fn new(bytes: usize) -> (Self, Receiver) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let capacity = Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS)));
        let receiver = Receiver {
            receiver,
            carry_over: None,
        };
        (Self { capacity, sender }, receiver)
    }

    /// Queues a submission, or refuses it without waiting.
    pub(crate) fn push(&self, submission: Submission) -> Result<(), NotRecordedReason> {
        let bytes = u32::try_from(submission.bytes).unwrap_or(u32::MAX);
        let Ok(permit) = Arc::clone(&self.capacity).try_acquire_many_owned(bytes) else {
            return Err(NotRecordedReason::Full);
        };
        let queued = QueuedSubmission {
            submission,
            _permit: permit,
        };
        self.sender
            .send(queued)
            .map_err(|_closed| NotRecordedReason::Down)
    }
}

impl Receiver {
    /// Waits for submissions and returns as many as fit into one append. Returns `None` once all
    /// senders are dropped and the queue is empty.
    pub(crate) async fn recv_group(
        &mut self,
        settings: &AppendSettings,
    ) -> Option<Vec<Submission>> {
        let first = match self.carry_over.take() {
            Some(carry_over) => carry_over,
            None => self.receiver.recv().await?,
        };
        let mut bytes = first.submission.bytes;
        let mut group = vec![first.submission];
        let deadline = Instant::now() + settings.linger;
        while let Ok(Some(next)) = timeout_at(deadline, self.receiver.recv()).await {
            bytes += next.submission.bytes;
            if bytes > settings.batch_bytes {
                self.carry_over = Some(next);
                break;
            }
            group.push(next.submission);
        }
        Some(group)
    }
}

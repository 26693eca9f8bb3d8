//! The bounded queue between callers and the task that writes.

use std::sync::Arc;

use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};
use tokio::time::{Instant, timeout_at};

use super::batch::{NotRecordedReason, Submission};
use super::settings::AppendSettings;

/// The end at which submissions are queued.
#[derive(Debug, Clone)]
pub(crate) struct Queue {
    room: Arc<Semaphore>,
    sender: mpsc::UnboundedSender<Queued>,
}

/// The end at which submissions are taken, in groups.
#[derive(Debug)]
pub(crate) struct Receiver {
    receiver: mpsc::UnboundedReceiver<Queued>,
    /// A submission that did not fit into the last group.
    carried: Option<Queued>,
}

/// A submission with its share of the room.
#[derive(Debug)]
struct Queued {
    submission: Submission,
    _room: OwnedSemaphorePermit,
}

impl Queue {
    pub(crate) fn new(bytes: usize) -> (Self, Receiver) {
        let (sender, receiver) = mpsc::unbounded_channel();
        let room = Arc::new(Semaphore::new(bytes.min(Semaphore::MAX_PERMITS)));
        let receiver = Receiver {
            receiver,
            carried: None,
        };
        (Self { room, sender }, receiver)
    }

    /// Queues a submission, or refuses it at once.
    pub(crate) fn push(&self, submission: Submission) -> Result<(), NotRecordedReason> {
        let bytes = u32::try_from(submission.bytes).unwrap_or(u32::MAX);
        let Ok(room) = Arc::clone(&self.room).try_acquire_many_owned(bytes) else {
            return Err(NotRecordedReason::Full);
        };
        let queued = Queued {
            submission,
            _room: room,
        };
        self.sender
            .send(queued)
            .map_err(|_gone| NotRecordedReason::Down)
    }
}

impl Receiver {
    /// Waits for submissions and takes as many as fit into one append; `None` once every queue end
    /// is gone and nothing is left.
    pub(crate) async fn take_group(
        &mut self,
        settings: &AppendSettings,
    ) -> Option<Vec<Submission>> {
        let first = match self.carried.take() {
            Some(carried) => carried,
            None => self.receiver.recv().await?,
        };
        let mut bytes = first.submission.bytes;
        let mut group = vec![first.submission];
        let until = Instant::now() + settings.linger;
        while let Ok(Some(next)) = timeout_at(until, self.receiver.recv()).await {
            bytes += next.submission.bytes;
            if bytes > settings.batch_bytes {
                self.carried = Some(next);
                break;
            }
            group.push(next.submission);
        }
        Some(group)
    }
}

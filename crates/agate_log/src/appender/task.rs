//! The task that writes queued submissions.

use std::sync::Arc;

use agate_records::BatchId;
use rand::Rng;
use tokio::sync::Mutex;

use super::batch::Group;
use super::queue::Receiver;
use super::settings::AppendSettings;
use super::writer::Writer;
use crate::{LogStore, Stream};

/// Writes queued submissions, one append at a time.
///
/// If it is restarted after a panic, it continues with the remaining queue. The callers of the
/// append in flight receive [`super::AppendOutcome::Unknown`].
#[derive(Debug)]
pub struct AppenderTask {
    store: Arc<dyn LogStore>,
    stream: Stream,
    settings: AppendSettings,
    receiver: Mutex<Receiver>,
}

impl AppenderTask {
    pub(crate) fn new(
        store: Arc<dyn LogStore>,
        stream: Stream,
        settings: AppendSettings,
        receiver: Receiver,
    ) -> Self {
        Self {
            store,
            stream,
            settings,
            receiver: Mutex::new(receiver),
        }
    }

    /// Writes until every [`super::Appender`] is dropped. `rng` generates the batch ids, so it must
    /// be seeded differently in each process.
    pub async fn run(&self, rng: &mut impl Rng) {
        let mut receiver = self.receiver.lock().await;
        let mut writer = Writer::new(Arc::clone(&self.store), self.stream, self.settings);
        while let Some(submissions) = receiver.recv_group(&self.settings).await {
            let group = Group::new(BatchId::random(rng), submissions);
            let outcome = writer.write(&group, rng).await;
            group.complete(outcome);
        }
    }
}

//! The task that writes what is queued.

use std::sync::Arc;

use agate_records::BatchId;
use rand::Rng;
use tokio::sync::Mutex;

use super::batch::Group;
use super::queue::Receiver;
use super::settings::AppendSettings;
use super::writer::Writer;
use crate::{LogStore, Stream};

/// Writes what is queued, one append at a time.
///
/// If it is run anew after a panic, it goes on with what is still queued; the callers of the append
/// in flight learn that its outcome is unknown.
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

    /// Writes until every [`super::Appender`] is gone. `rng` must differ between processes: it
    /// draws the ids of batches.
    pub async fn run(&self, rng: &mut impl Rng) {
        let mut receiver = self.receiver.lock().await;
        let mut writer = Writer::new(Arc::clone(&self.store), self.stream, self.settings);
        while let Some(submissions) = receiver.take_group(&self.settings).await {
            let group = Group::new(BatchId::random(rng), submissions);
            let outcome = writer.write(&group, rng).await;
            group.answer(outcome);
        }
    }
}

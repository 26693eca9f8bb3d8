//! Queues of records waiting to be appended.

use std::sync::Arc;
use std::time::Duration;

use agate_log::{AppendSettings, Appender, AppenderTask, LogStore, Stream};
use agate_super::ChildError;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

/// The append queue of one stream and the task that drains it.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    pub(crate) appender: Appender,
    task: Arc<AppenderTask>,
}

impl Writer {
    /// Creates the queue of `stream`; records wait for up to `linger` to share an append.
    pub(crate) fn new(store: Arc<dyn LogStore>, stream: Stream, linger: Duration) -> Self {
        let settings = AppendSettings::builder().linger(linger).build();
        let (appender, task) = Appender::new(store, stream, settings);
        Self {
            appender,
            task: Arc::new(task),
        }
    }
}

/// Appends queued records until `stop` is cancelled.
pub(crate) async fn append(writer: Writer, stop: CancellationToken) -> Result<(), ChildError> {
    let mut rng = StdRng::from_os_rng();
    stop.run_until_cancelled(writer.task.run(&mut rng)).await;
    Ok(())
}

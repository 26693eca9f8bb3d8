//! The queues of records that wait for their append.

use std::sync::Arc;
use std::time::Duration;

use agate_log::{AppendSettings, Appender, AppenderTask, LogStore, Stream};
use agate_super::ChildError;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

/// The queue of one stream and the task that empties it.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    pub(crate) appender: Appender,
    task: Arc<AppenderTask>,
}

impl Writer {
    /// Creates the queue of `stream`; records wait for `group` to share an append.
    pub(crate) fn new(store: Arc<dyn LogStore>, stream: Stream, group: Duration) -> Self {
        let settings = AppendSettings::builder().linger(group).build();
        let (appender, task) = Appender::new(store, stream, settings);
        Self {
            appender,
            task: Arc::new(task),
        }
    }
}

/// Writes what is queued until `stop` is cancelled.
pub(crate) async fn append(writer: Writer, stop: CancellationToken) -> Result<(), ChildError> {
    let mut rng = StdRng::from_os_rng();
    stop.run_until_cancelled(writer.task.run(&mut rng)).await;
    Ok(())
}

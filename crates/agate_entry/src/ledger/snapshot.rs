//! Periodic snapshots, written well before records expire.

use std::sync::Arc;
use std::time::Duration;

use agate_log::{Appender, SnapshotError, SnapshotWriter};
use agate_super::ChildError;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;

/// Relative jitter of the interval.
const JITTER: f64 = 0.2;

/// Age of the state above which no snapshot is written.
const MAX_STATE_AGE: Duration = Duration::from_secs(10);

/// Writes snapshots that are due until `stop` is cancelled.
pub(crate) async fn write_snapshots(
    entry: Arc<Entry>,
    appender: Appender,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let mut rng = StdRng::from_os_rng();
    let mut writer = SnapshotWriter::new(Arc::clone(&entry.store), appender);
    loop {
        let factor = rng.random_range(1.0 - JITTER..=1.0 + JITTER);
        let pause = sleep(entry.limits.snapshot_interval.mul_f64(factor));
        if stop.run_until_cancelled(pause).await.is_none() {
            return Ok(());
        }
        let written = stop.run_until_cancelled(write(&entry, &mut writer, &mut rng));
        match written.await {
            None => return Ok(()),
            Some(Ok(())) => {}
            Some(Err(error)) => log::warn!(event = "snapshot_failed", cause:% = error; ""),
        }
    }
}

async fn write(
    entry: &Entry,
    writer: &mut SnapshotWriter,
    rng: &mut StdRng,
) -> Result<(), SnapshotError> {
    let fresh = entry.folded.age().is_some_and(|age| age <= MAX_STATE_AGE);
    if !fresh || !writer.is_due().await? {
        return Ok(());
    }
    let pending = entry.folded.with(|state| writer.take(state, rng));
    pending.write().await?;
    log::info!(event = "snapshot_written"; "");
    Ok(())
}

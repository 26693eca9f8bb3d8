//! Snapshots: which process writes them, and when.

use std::sync::Arc;
use std::time::Duration;

use agate_log::{AppendSettings, Appender, LogStore, SnapshotError, SnapshotWriter, Stream};
use agate_state::{State, StateLimits};

use crate::support::{FakeStore, rng};

fn writer(store: &Arc<FakeStore>, seed: u64) -> SnapshotWriter {
    let store = Arc::clone(store) as Arc<dyn LogStore>;
    let settings = AppendSettings::default();
    let (appender, task) = Appender::new(Arc::clone(&store), Stream::Snap, settings);
    tokio::spawn(async move { task.run(&mut rng(seed)).await });
    SnapshotWriter::new(store, appender)
}

async fn write(writer: &mut SnapshotWriter, seed: u64) {
    let state = State::new(StateLimits::default());
    let pending = writer.take(&state, &mut rng(seed));
    pending.write().await.expect("the log should be up");
}

#[tokio::test(start_paused = true)]
async fn one_process_writes_a_snapshot_per_interval() {
    let store = Arc::new(FakeStore::new(Duration::from_mins(1)));
    let mut a = writer(&store, 1);
    let mut b = writer(&store, 2);
    assert_eq!(a.is_due().await, Ok(true), "no snapshot exists");
    write(&mut a, 10).await;
    assert_eq!(b.is_due().await, Ok(false), "a has just written a snapshot");
    assert_eq!(
        b.is_due().await,
        Ok(true),
        "no snapshot since the last check"
    );
    write(&mut b, 11).await;
    assert_eq!(a.is_due().await, Ok(false), "b has just written a snapshot");
    assert_eq!(
        a.is_due().await,
        Ok(true),
        "b has written no further snapshot"
    );
}

#[tokio::test(start_paused = true)]
async fn single_process_writes_a_snapshot_every_interval() {
    let store = Arc::new(FakeStore::new(Duration::from_mins(1)));
    let mut writer = writer(&store, 1);
    for seed in 0..3 {
        assert_eq!(writer.is_due().await, Ok(true));
        write(&mut writer, seed).await;
    }
}

#[tokio::test(start_paused = true)]
async fn snapshot_in_an_outage_is_an_error() {
    let store = Arc::new(FakeStore::new(Duration::from_mins(1)));
    let mut writer = writer(&store, 1);
    store.go_down();
    assert!(matches!(writer.is_due().await, Err(SnapshotError::Read(_))));
    let state = State::new(StateLimits::default());
    let pending = writer.take(&state, &mut rng(2));
    assert_eq!(pending.write().await, Err(SnapshotError::NotRecorded));
}

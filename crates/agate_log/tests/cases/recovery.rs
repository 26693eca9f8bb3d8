//! Recovery from the newest snapshot and the records after it.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{JobId, Offset, Position, Resources};
use agate_log::{
    AppendSettings, Appender, FollowSettings, LogStore, RecoverError, SnapshotWriter, Stream,
    recover,
};
use agate_records::{Batch, BatchId, Body, JobSubmitted, Record, SnapshotId, SnapshotPart};
use agate_state::{State, StateLimits};
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::support::{FakeStore, fold_all, recorded, rng, start_appender, withdrawal};

const RETENTION: Duration = Duration::from_mins(1);

struct Fixture {
    store: Arc<FakeStore>,
    main_appender: Appender,
    snapshots: SnapshotWriter,
}

fn fixture() -> Fixture {
    let store = Arc::new(FakeStore::new(RETENTION));
    let (main_appender, _task) = start_appender(&store, AppendSettings::default(), 1);
    let snapshots = snapshot_writer(&store, 2);
    Fixture {
        store,
        main_appender,
        snapshots,
    }
}

fn snapshot_writer(store: &Arc<FakeStore>, seed: u64) -> SnapshotWriter {
    let store = Arc::clone(store) as Arc<dyn LogStore>;
    let settings = AppendSettings::default();
    let (appender, task) = Appender::new(Arc::clone(&store), Stream::Snap, settings);
    tokio::spawn(async move { task.run(&mut rng(seed)).await });
    SnapshotWriter::new(store, appender)
}

fn job(id: u64) -> Body {
    Body::from(JobSubmitted {
        job: JobId(id),
        caller: "caller".parse().expect("a valid name"),
        team: "team".parse().expect("a valid name"),
        class: "rebalance".parse().expect("a valid name"),
        tags: Vec::new(),
        tasks: 3,
        declared: Resources::new(1_000, 512, 0),
        payload: "x".repeat(2_000),
    })
}

impl Fixture {
    async fn submit(&self, ids: std::ops::Range<u64>) {
        for id in ids {
            recorded(self.main_appender.append(vec![job(id)]).await);
        }
    }

    async fn snapshot(&mut self, state: &State) {
        let pending = self.snapshots.take(state, &mut rng(3));
        pending.write().await.expect("the log should be up");
    }

    async fn recover(&self) -> Result<State, RecoverError> {
        let store = Arc::clone(&self.store) as Arc<dyn LogStore>;
        let limits = StateLimits::default();
        let recovered = recover(store, limits, FollowSettings::default(), &mut rng(4)).await?;
        Ok(recovered.state)
    }
}

#[tokio::test(start_paused = true)]
async fn recovery_without_a_snapshot_folds_the_whole_log() {
    let fixture = fixture();
    fixture.submit(0..5).await;
    assert_eq!(fixture.recover().await.unwrap().open_jobs(), 5);
}

#[tokio::test(start_paused = true)]
async fn expired_records_are_recovered_from_the_snapshot() {
    let mut fixture = fixture();
    fixture.submit(0..200).await;
    recorded(
        fixture
            .main_appender
            .append(vec![withdrawal("rebalance")])
            .await,
    );
    sleep(RETENTION / 2).await;
    let state = fixture
        .recover()
        .await
        .expect("no record should have expired");
    fixture.snapshot(&state).await;
    fixture.submit(200..205).await;
    sleep(RETENTION * 3 / 4).await;
    assert_eq!(fixture.store.page(Stream::Main).earliest, Offset(202));
    let recovered = fixture.recover().await.unwrap();
    assert_eq!(recovered.open_jobs(), 205);
    assert_eq!(recovered.config(), state.config());
}

/// Each entry that rebuilt its state read all retained snapshots, not just the newest.
#[tokio::test(start_paused = true)]
async fn recovery_reads_about_one_snapshot() {
    let mut fixture = fixture();
    fixture.submit(0..400).await;
    let state = fixture.recover().await.expect("no record has expired");
    fixture.snapshot(&state).await;
    let one: usize = {
        fixture.recover().await.expect("no record has expired");
        fixture.store.snapshot_bytes()
    };
    for _ in 0..30 {
        fixture.snapshot(&state).await;
    }
    let before = fixture.store.snapshot_bytes();
    let recovered = fixture.recover().await.expect("no record has expired");
    let read = fixture.store.snapshot_bytes() - before;
    assert_eq!(recovered.open_jobs(), 400);
    assert!(read < 6 * one, "{read} bytes for a snapshot of {one}");
}

#[tokio::test(start_paused = true)]
async fn recovery_of_an_expired_log_without_a_snapshot_fails() {
    let fixture = fixture();
    fixture.submit(0..5).await;
    sleep(RETENTION * 2).await;
    fixture.submit(5..6).await;
    let earliest = Offset(6);
    let recovered = fixture.recover().await.map(|state| state.open_jobs());
    assert_eq!(recovered, Err(RecoverError::NoSnapshot { earliest }));
}

#[tokio::test(start_paused = true)]
async fn incomplete_snapshot_is_ignored() {
    let mut fixture = fixture();
    fixture.submit(0..100).await;
    let state = fixture
        .recover()
        .await
        .expect("no record should have expired");
    fixture.snapshot(&state).await;
    fixture.submit(100..200).await;
    let state = fixture
        .recover()
        .await
        .expect("no record should have expired");
    let incomplete = fixture.snapshots.take(&state, &mut rng(5));
    let write = timeout(Duration::from_millis(10), incomplete.write()).await;
    assert!(write.is_err(), "the snapshot should have several parts");
    assert_eq!(fixture.recover().await.unwrap().open_jobs(), 200);
}

#[tokio::test(start_paused = true)]
async fn process_started_in_an_outage_adopts_a_peers_configuration_and_recovers_later() {
    let fixture = fixture();
    recorded(
        fixture
            .main_appender
            .append(vec![withdrawal("rebalance")])
            .await,
    );
    let peer = fold_all(&fixture.store);
    fixture.store.go_down();
    let result = timeout(RETENTION / 2, fixture.recover()).await;
    assert!(result.is_err(), "recovery should wait for the log");

    let mut state = State::new(StateLimits::default());
    assert!(state.adopt((*peer.config()).clone()));
    assert_eq!(state.config(), peer.config());

    fixture.store.come_back();
    fixture.submit(0..1).await;
    let mut recovered = fixture.recover().await.unwrap();
    assert!(!recovered.adopt((*state.config()).clone()));
    assert_eq!(recovered.config(), peer.config());
    assert_eq!(recovered.open_jobs(), 1);
}

#[tokio::test(start_paused = true)]
async fn snapshot_of_a_surviving_process_restores_the_log_after_a_long_outage() {
    let mut fixture = fixture();
    fixture.submit(0..3).await;
    let state = fixture
        .recover()
        .await
        .expect("no record should have expired");
    fixture.snapshot(&state).await;
    fixture.store.go_down();
    sleep(RETENTION * 2).await;
    fixture.store.come_back();
    fixture.submit(3..4).await;
    let earliest = Offset(4);
    let before = fixture.recover().await.map(|state| state.open_jobs());
    assert_eq!(before, Err(RecoverError::NoSnapshot { earliest }));
    assert_eq!(fixture.snapshots.is_due().await, Ok(true));
    fixture.snapshot(&state).await;
    let after = fixture.recover().await.map(|state| state.open_jobs());
    assert_eq!(after, Ok(4));
}

/// Returns the only record of an append to the snapshot stream that no process wrote.
fn odd_part(id: u128, at: u64, parts: u32) -> Vec<u8> {
    let part = SnapshotPart {
        snapshot: SnapshotId(id),
        at: Position::new(Offset(at), 0),
        part: 0,
        parts,
        items: Vec::new(),
    };
    let records = vec![Record {
        wall_ms: u64::MAX,
        body: part.into(),
    }];
    let id = BatchId(id);
    Batch { id, records }.encode()
}

// Guards against a snapshot of another writer from which no entry can ever continue.
#[rstest]
#[case::complete(&[(u64::MAX, 1)])]
#[case::just_past_the_end(&[(1_000, 1)])]
#[case::incomplete(&[(u64::MAX, 2), (u64::MAX, 3), (u64::MAX - 1, u32::MAX), (u64::MAX, 2), (1_000, 9)])]
#[tokio::test(start_paused = true)]
async fn a_snapshot_past_the_end_must_not_stop_recovery(#[case] odd: &[(u64, u32)]) {
    let mut fixture = fixture();
    for (id, (at, parts)) in (1..).zip(odd) {
        fixture.store.put(Stream::Snap, &odd_part(id, *at, *parts));
    }
    fixture.store.put(Stream::Snap, &[0xff; 40]);
    fixture.submit(0..200).await;
    sleep(RETENTION / 2).await;
    let state = fixture.recover().await.expect("no record has expired");
    assert_eq!(state.open_jobs(), 200);
    for (id, (at, parts)) in (100..).zip(odd) {
        fixture.store.put(Stream::Snap, &odd_part(id, *at, *parts));
    }
    fixture.snapshot(&state).await;
    fixture.submit(200..205).await;
    sleep(RETENTION * 3 / 4).await;
    let recovered = fixture.recover().await.expect("the snapshot is complete");
    assert_eq!(recovered.open_jobs(), 205);
}

//! Recovery from the newest snapshot and what came after it.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{JobId, Offset, Resources};
use agate_log::{
    AppendSettings, Appender, FollowSettings, LogStore, RecoverError, SnapshotWriter, Stream,
    recover,
};
use agate_records::{Body, JobSubmitted};
use agate_state::{State, StateLimits};
use tokio::time::{sleep, timeout};

use crate::support::{FakeStore, fold_all, recorded, rng, start_appender, withdrawal};

const RETENTION: Duration = Duration::from_mins(1);

struct Rig {
    store: Arc<FakeStore>,
    main: Appender,
    snapshots: SnapshotWriter,
}

fn rig() -> Rig {
    let store = Arc::new(FakeStore::new(RETENTION));
    let (main, _task) = start_appender(&store, AppendSettings::default(), 1);
    let snapshots = snapshot_writer(&store, 2);
    Rig {
        store,
        main,
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

impl Rig {
    async fn submit(&self, ids: std::ops::Range<u64>) {
        for id in ids {
            recorded(self.main.append(vec![job(id)]).await);
        }
    }

    async fn snapshot(&mut self, state: &State) {
        let pending = self.snapshots.take(state, &mut rng(3));
        pending.write().await.expect("the log is up");
    }

    async fn recover(&self) -> Result<State, RecoverError> {
        let store = Arc::clone(&self.store) as Arc<dyn LogStore>;
        let limits = StateLimits::default();
        let recovered = recover(store, limits, FollowSettings::default(), &mut rng(4)).await?;
        Ok(recovered.state)
    }
}

#[tokio::test(start_paused = true)]
async fn without_a_snapshot_everything_is_folded() {
    let rig = rig();
    rig.submit(0..5).await;
    assert_eq!(rig.recover().await.unwrap().open_jobs(), 5);
}

#[tokio::test(start_paused = true)]
async fn what_retention_forgot_comes_from_the_snapshot() {
    let mut rig = rig();
    rig.submit(0..200).await;
    recorded(rig.main.append(vec![withdrawal("rebalance")]).await);
    sleep(RETENTION / 2).await;
    let state = rig.recover().await.expect("everything is still there");
    rig.snapshot(&state).await;
    rig.submit(200..205).await;
    sleep(RETENTION * 3 / 4).await;
    assert_eq!(rig.store.page(Stream::Main).earliest, Offset(202));
    let recovered = rig.recover().await.unwrap();
    assert_eq!(recovered.open_jobs(), 205);
    assert_eq!(recovered.config(), state.config());
}

#[tokio::test(start_paused = true)]
async fn without_a_snapshot_a_forgotten_log_is_an_error() {
    let rig = rig();
    rig.submit(0..5).await;
    sleep(RETENTION * 2).await;
    rig.submit(5..6).await;
    let earliest = Offset(6);
    let recovered = rig.recover().await.map(|state| state.open_jobs());
    assert_eq!(recovered, Err(RecoverError::NoSnapshot { earliest }));
}

#[tokio::test(start_paused = true)]
async fn a_snapshot_that_was_cut_off_is_passed_over() {
    let mut rig = rig();
    rig.submit(0..100).await;
    let state = rig.recover().await.expect("everything is still there");
    rig.snapshot(&state).await;
    rig.submit(100..200).await;
    let state = rig.recover().await.expect("everything is still there");
    let cut = rig.snapshots.take(&state, &mut rng(5));
    let write = timeout(Duration::from_millis(10), cut.write()).await;
    assert!(write.is_err(), "the snapshot has several parts");
    assert_eq!(rig.recover().await.unwrap().open_jobs(), 200);
}

#[tokio::test(start_paused = true)]
async fn a_start_in_an_outage_shows_a_peers_configuration_and_recovers_later() {
    let rig = rig();
    recorded(rig.main.append(vec![withdrawal("rebalance")]).await);
    let peer = fold_all(&rig.store);
    rig.store.go_down();
    let stuck = timeout(RETENTION / 2, rig.recover()).await;
    assert!(stuck.is_err(), "the log is down");

    let mut state = State::new(StateLimits::default());
    assert!(state.adopt((*peer.config()).clone()));
    assert_eq!(state.config(), peer.config());

    rig.store.come_back();
    rig.submit(0..1).await;
    let mut recovered = rig.recover().await.unwrap();
    assert!(!recovered.adopt((*state.config()).clone()));
    assert_eq!(recovered.config(), peer.config());
    assert_eq!(recovered.open_jobs(), 1);
}

#[tokio::test(start_paused = true)]
async fn after_an_outage_longer_than_retention_a_process_that_lived_restores_the_rest() {
    let mut rig = rig();
    rig.submit(0..3).await;
    let state = rig.recover().await.expect("everything is still there");
    rig.snapshot(&state).await;
    rig.store.go_down();
    sleep(RETENTION * 2).await;
    rig.store.come_back();
    rig.submit(3..4).await;
    let earliest = Offset(4);
    let early = rig.recover().await.map(|state| state.open_jobs());
    assert_eq!(early, Err(RecoverError::NoSnapshot { earliest }));
    assert_eq!(rig.snapshots.is_due().await, Ok(true));
    rig.snapshot(&state).await;
    let late = rig.recover().await.map(|state| state.open_jobs());
    assert_eq!(late, Ok(4));
}

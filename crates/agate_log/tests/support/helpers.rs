//! Helpers for the test cases.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{ClassName, JobId, Offset};
use agate_log::{
    AppendOutcome, AppendSettings, Appender, AppenderTask, LogStore, Recorded, Stream,
};
use agate_records::{Body, DecodedBatch, JobCancelled, Withdrawn};
use agate_state::{State, StateLimits};
use agate_wire::message::{Selector, StopMode};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::FakeStore;

pub fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

pub fn append_settings() -> AppendSettings {
    AppendSettings::builder()
        .timeout(Duration::from_secs(5))
        .build()
}

/// Starts an appender of the main stream and runs its task.
pub fn start_appender(
    store: &Arc<impl LogStore + 'static>,
    settings: AppendSettings,
    seed: u64,
) -> (Appender, Arc<AppenderTask>) {
    let store = Arc::clone(store) as Arc<dyn LogStore>;
    let (appender, task) = Appender::new(store, Stream::Main, settings);
    let task = Arc::new(task);
    let running = Arc::clone(&task);
    tokio::spawn(async move { running.run(&mut rng(seed)).await });
    (appender, task)
}

/// Returns `count` small records.
pub fn bodies(count: u64) -> Vec<Body> {
    let body = |id| Body::from(JobCancelled { job: JobId(id) });
    (0..count).map(body).collect()
}

pub fn withdrawal(class: &str) -> Body {
    let class = ClassName::new(class).expect("a valid name");
    Body::from(Withdrawn {
        selector: Selector::Class(class),
        mode: StopMode::Finish,
        operator: "operator".to_owned(),
    })
}

pub fn recorded(outcome: AppendOutcome) -> Recorded {
    match outcome {
        AppendOutcome::Recorded(recorded) => recorded,
        other => panic!("not recorded: {other:?}"),
    }
}

/// Folds the whole main stream.
pub fn fold_all(store: &FakeStore) -> State {
    let mut state = State::new(StateLimits::default());
    let mut next = Offset(1);
    for entry in store.page(Stream::Main).entries {
        assert_eq!(entry.offset, next);
        state.apply_batch(&DecodedBatch::decode(entry.offset, &entry.data));
        next = next.next();
    }
    state
}

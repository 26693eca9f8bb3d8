//! Grouping of appends and their outcomes.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_log::{
    AppendOutcome, AppendSettings, Appender, LogStore, NotRecordedReason, StoreError, Stream,
};
use agate_records::DecodedBatch;
use tokio::time::Instant;

use crate::support::{
    AppendFault, FakeStore, append_settings, bodies, fold_all, recorded, rng, start_appender,
    withdrawal,
};

fn store() -> Arc<FakeStore> {
    Arc::new(FakeStore::new(Duration::from_mins(10)))
}

const fn not_recorded(reason: NotRecordedReason) -> AppendOutcome {
    AppendOutcome::NotRecorded {
        reason,
        retry_after: Duration::from_secs(1),
    }
}

#[tokio::test(start_paused = true)]
async fn records_submitted_within_the_linger_time_share_one_append() {
    let store = store();
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    let calls = (0..100).map(|_| {
        let appender = appender.clone();
        tokio::spawn(async move { appender.append(bodies(3)).await })
    });
    let mut indices = Vec::new();
    for call in calls.collect::<Vec<_>>() {
        let recorded = recorded(call.await.unwrap());
        assert_eq!(recorded.offset, Offset(1));
        indices.push(recorded.index);
    }
    assert_eq!(store.appends(), 1);
    indices.sort_unstable();
    let expected: Vec<u32> = (0..100).map(|i| i * 3).collect();
    assert_eq!(indices, expected);
}

#[tokio::test(start_paused = true)]
async fn groups_do_not_exceed_the_batch_size_limit() {
    let store = store();
    let settings = AppendSettings::builder().batch_bytes(100).build();
    let (appender, _task) = start_appender(&store, settings, 1);
    let calls = (0..20).map(|_| {
        let appender = appender.clone();
        tokio::spawn(async move { appender.append(bodies(1)).await })
    });
    for call in calls.collect::<Vec<_>>() {
        recorded(call.await.unwrap());
    }
    let page = store.page(Stream::Main);
    assert!(page.entries.len() > 1);
    assert!(page.entries.iter().all(|entry| entry.data.len() < 200));
    let outcome = appender.append(bodies(50)).await;
    assert_eq!(outcome, not_recorded(NotRecordedReason::TooLarge));
}

#[tokio::test(start_paused = true)]
async fn lost_response_is_resolved_by_reading_the_stream() {
    let store = store();
    store.put(Stream::Main, b"another writer's");
    store.inject([AppendFault::LoseResponse]);
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    let recorded = recorded(appender.append(bodies(1)).await);
    assert_eq!(recorded.offset, Offset(2));
    assert_eq!(store.appends(), 1);
}

#[tokio::test(start_paused = true)]
async fn lost_append_is_resent_with_the_same_id() {
    let store = store();
    store.inject([AppendFault::LoseAppend, AppendFault::LoseAppend]);
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    let recorded = recorded(appender.append(bodies(1)).await);
    assert_eq!(store.appends(), 3);
    let page = store.page(Stream::Main);
    assert_eq!(page.entries.len(), 1);
    assert_eq!(
        DecodedBatch::decode_id(&page.entries[0].data),
        Some(recorded.batch)
    );
}

#[tokio::test(start_paused = true)]
async fn delayed_duplicate_append_counts_once() {
    let store = store();
    store.inject([AppendFault::Delay(Duration::from_millis(500))]);
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    let recorded = recorded(appender.append(vec![withdrawal("rebalance")]).await);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let page = store.page(Stream::Main);
    let ids: Vec<_> = page
        .entries
        .iter()
        .map(|entry| DecodedBatch::decode_id(&entry.data))
        .collect();
    assert_eq!(ids, [Some(recorded.batch), Some(recorded.batch)]);
    let version = fold_all(&store).config().version;
    assert_eq!(version.0.offset, Offset(1));
}

#[tokio::test(start_paused = true)]
async fn no_append_is_sent_in_an_outage_and_records_are_not_recorded() {
    let store = store();
    store.go_down();
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    let started = Instant::now();
    let outcome = appender.append(bodies(1)).await;
    assert_eq!(outcome, not_recorded(NotRecordedReason::Down));
    assert!(started.elapsed() <= Duration::from_secs(5));
    assert_eq!(store.appends(), 0);
    store.come_back();
    recorded(appender.append(bodies(1)).await);
}

#[tokio::test(start_paused = true)]
async fn later_records_fail_fast_during_an_outage() {
    let store = store();
    store.go_down();
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    appender.append(bodies(1)).await;
    let started = Instant::now();
    let outcome = appender.append(bodies(1)).await;
    assert_eq!(outcome, not_recorded(NotRecordedReason::Down));
    assert!(started.elapsed() < Duration::from_millis(100));
}

#[tokio::test(start_paused = true)]
async fn append_that_may_be_in_the_log_is_unknown() {
    let store = store();
    store.inject([AppendFault::LoseResponseAndFail]);
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    assert_eq!(appender.append(bodies(1)).await, AppendOutcome::Unknown);
    store.come_back();
    assert_eq!(store.page(Stream::Main).entries.len(), 1);
    let next = recorded(appender.append(bodies(1)).await);
    assert_eq!(next.offset, Offset(2));
}

#[tokio::test(start_paused = true)]
async fn append_succeeds_if_the_outage_ends_before_the_deadline() {
    let store = store();
    store.inject([AppendFault::LoseResponseAndFail]);
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    let restore = async {
        tokio::time::sleep(Duration::from_secs(2)).await;
        store.come_back();
    };
    let (outcome, ()) = tokio::join!(appender.append(bodies(1)), restore);
    assert_eq!(recorded(outcome).offset, Offset(1));
    assert_eq!(store.appends(), 1);
}

#[tokio::test(start_paused = true)]
async fn append_is_unknown_if_the_searched_range_expired() {
    let store = Arc::new(FakeStore::new(Duration::from_millis(5)));
    let settings = AppendSettings::builder()
        .initial_backoff(Duration::from_millis(100))
        .build();
    let (appender, _task) = start_appender(&store, settings, 1);
    store.inject([AppendFault::LoseResponse]);
    assert_eq!(appender.append(bodies(1)).await, AppendOutcome::Unknown);
    assert_eq!(store.appends(), 1);
}

#[tokio::test(start_paused = true)]
async fn busy_log_is_retried_after_the_requested_delay() {
    let store = store();
    let wait = Duration::from_millis(1_500);
    store.inject([AppendFault::Refuse(StoreError::Busy(wait))]);
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    let started = Instant::now();
    recorded(appender.append(bodies(1)).await);
    assert!(started.elapsed() >= wait);
    assert_eq!(store.appends(), 2);
}

#[tokio::test(start_paused = true)]
async fn full_buffer_refuses_immediately() {
    let store = store();
    store.go_down();
    let settings = AppendSettings::builder().buffer_bytes(400).build();
    let (appender, _task) = start_appender(&store, settings, 1);
    let calls = (0..1_000).map(|_| {
        let appender = appender.clone();
        tokio::spawn(async move {
            let started = Instant::now();
            (appender.append(bodies(1)).await, started.elapsed())
        })
    });
    let mut refused = 0;
    for call in calls.collect::<Vec<_>>() {
        let (outcome, elapsed) = call.await.unwrap();
        if outcome == not_recorded(NotRecordedReason::Full) {
            assert_eq!(elapsed, Duration::ZERO);
            refused += 1;
        }
    }
    assert!(refused > 900, "only {refused} were refused");
}

#[tokio::test(start_paused = true)]
async fn restarted_task_continues_with_the_queue() {
    let store = store();
    let log = Arc::clone(&store) as Arc<dyn LogStore>;
    let (appender, task) = Appender::new(log, Stream::Main, append_settings());
    store.inject([AppendFault::LoseResponseAndFail]);
    let first = tokio::spawn({
        let appender = appender.clone();
        async move { appender.append(bodies(1)).await }
    });
    let stopped = tokio::time::timeout(Duration::from_millis(50), task.run(&mut rng(1))).await;
    assert!(
        stopped.is_err(),
        "the task should run while there is an appender"
    );
    assert_eq!(first.await.unwrap(), AppendOutcome::Unknown);

    let second = tokio::spawn(async move { appender.append(bodies(1)).await });
    store.come_back();
    task.run(&mut rng(2)).await;
    assert_eq!(recorded(second.await.unwrap()).offset, Offset(2));
}

// Guards against an overflow of the clock, which ends the task that appends.
#[tokio::test(start_paused = true)]
async fn a_log_that_is_busy_for_ever_must_not_end_the_appender() {
    let store = store();
    let (appender, _task) = start_appender(&store, append_settings(), 1);
    store.inject([AppendFault::Refuse(StoreError::Busy(Duration::MAX))]);
    let outcome = appender.append(bodies(1)).await;
    assert_eq!(outcome, not_recorded(NotRecordedReason::Down));
    recorded(appender.append(bodies(1)).await);
}

//! Following a stream: order, gaps and the caught-up time that leases depend on.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_log::{FollowEvent, FollowSettings, Follower, LogStore, Stream};
use agate_records::{Batch, BatchId};
use tokio::time::{Instant, sleep};

use crate::support::{FakeStore, rng};

const POLL_TIMEOUT: Duration = Duration::from_millis(500);

fn put(store: &FakeStore, id: u128) {
    let batch = Batch {
        id: BatchId(id),
        records: Vec::new(),
    };
    store.put(Stream::Main, &batch.encode());
}

fn follow(store: &Arc<FakeStore>, next: u64) -> Follower {
    let store = Arc::clone(store) as Arc<dyn LogStore>;
    let settings = FollowSettings::builder().poll_timeout(POLL_TIMEOUT).build();
    Follower::new(store, Stream::Main, Offset(next), settings)
}

fn store() -> Arc<FakeStore> {
    Arc::new(FakeStore::new(Duration::from_mins(1)))
}

fn ids(followed: &FollowEvent) -> Vec<u128> {
    let FollowEvent::Batches(batches) = followed else {
        panic!("no batches: {followed:?}");
    };
    batches
        .iter()
        .filter_map(|batch| Some(batch.id?.0))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn follower_resumes_at_its_position() {
    let store = store();
    for id in 1..=3 {
        put(&store, id);
    }
    let mut follower = follow(&store, 2);
    assert_eq!(ids(&follower.next(&mut rng(1)).await), [2, 3]);
    assert_eq!(follower.position(), Offset(4));
    put(&store, 4);
    assert_eq!(ids(&follower.next(&mut rng(1)).await), [4]);
}

#[tokio::test(start_paused = true)]
async fn large_backlog_is_read_in_pages_without_loss() {
    let store = store();
    for id in 1..=1_000 {
        put(&store, id);
    }
    let mut follower = follow(&store, 1);
    let caught_up_at = follower.caught_up_at();
    let mut read = Vec::new();
    while read.len() < 1_000 {
        assert_eq!(
            *caught_up_at.borrow(),
            None,
            "the end should not be reached yet"
        );
        read.extend(ids(&follower.next(&mut rng(1)).await));
    }
    assert_eq!(read, (1..=1_000).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn caught_up_time_is_the_start_of_the_last_applied_read() {
    let store = store();
    put(&store, 1);
    let mut follower = follow(&store, 1);
    let caught_up_at = follower.caught_up_at();
    let started = Instant::now();
    follower.next(&mut rng(1)).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(
        *caught_up_at.borrow(),
        None,
        "the consumer has not applied the batches yet"
    );
    let second = Instant::now();
    follower.next(&mut rng(1)).await;
    assert_eq!(*caught_up_at.borrow(), Some(started));
    assert!(
        second.elapsed() >= POLL_TIMEOUT,
        "a read without new appends should wait"
    );
    put(&store, 2);
    follower.next(&mut rng(1)).await;
    assert_eq!(*caught_up_at.borrow(), Some(second));
}

#[tokio::test(start_paused = true)]
async fn caught_up_time_does_not_advance_in_an_outage() {
    let store = store();
    put(&store, 1);
    let mut follower = follow(&store, 1);
    let caught_up_at = follower.caught_up_at();
    follower.next(&mut rng(1)).await;
    store.go_down();
    let started = Instant::now();
    let restore = async {
        sleep(Duration::from_mins(5)).await;
        assert!(caught_up_at.borrow().is_some_and(|at| at <= started));
        put(&store, 2);
        store.come_back();
    };
    let mut rng = rng(1);
    let (read, ()) = tokio::join!(follower.next(&mut rng), restore);
    assert_eq!(ids(&read), [2]);
    assert!(caught_up_at.borrow().is_some_and(|at| at <= started));
}

#[tokio::test(start_paused = true)]
async fn dropped_read_loses_no_appends() {
    let store = store();
    let mut follower = follow(&store, 1);
    let mut rng = rng(1);
    follower.next(&mut rng).await;
    let dropped = tokio::time::timeout(Duration::from_millis(100), follower.next(&mut rng)).await;
    assert_eq!(dropped.ok(), None);
    put(&store, 1);
    assert_eq!(ids(&follower.next(&mut rng).await), [1]);
}

#[tokio::test(start_paused = true)]
async fn follower_reports_a_gap_after_unread_records_expire() {
    let store = store();
    for id in 1..=3 {
        put(&store, id);
    }
    let mut follower = follow(&store, 1);
    follower.next(&mut rng(1)).await;
    put(&store, 4);
    sleep(Duration::from_mins(2)).await;
    put(&store, 5);
    let gap = FollowEvent::Gap {
        wanted: Offset(4),
        earliest: Offset(5),
    };
    assert_eq!(follower.next(&mut rng(1)).await, gap);
}

#[tokio::test(start_paused = true)]
async fn expiry_of_records_already_read_is_not_a_gap() {
    let store = store();
    put(&store, 1);
    let mut follower = follow(&store, 1);
    follower.next(&mut rng(1)).await;
    sleep(Duration::from_mins(2)).await;
    assert_eq!(ids(&follower.next(&mut rng(1)).await), Vec::<u128>::new());
}

#[tokio::test(start_paused = true)]
async fn follower_reports_a_log_that_lost_appends() {
    let store = store();
    for id in 1..=3 {
        put(&store, id);
    }
    let mut follower = follow(&store, 1);
    follower.next(&mut rng(1)).await;
    store.wipe();
    let rewound = FollowEvent::Rewound {
        wanted: Offset(4),
        end: Offset(0),
    };
    assert_eq!(follower.next(&mut rng(1)).await, rewound);
}

#[tokio::test(start_paused = true)]
async fn append_that_is_not_a_batch_is_skipped() {
    let store = store();
    store.put(Stream::Main, b"\xff\xff");
    put(&store, 2);
    let followed = follow(&store, 1).next(&mut rng(1)).await;
    assert_eq!(ids(&followed), [2]);
}

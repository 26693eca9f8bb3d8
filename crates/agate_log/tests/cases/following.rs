//! Following a stream: order, gaps and the tip that leases rest on.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use agate_log::{FollowSettings, Followed, Follower, LogStore, Stream};
use agate_records::{Batch, BatchId};
use tokio::time::{Instant, sleep};

use crate::support::{FakeStore, rng};

const WAIT: Duration = Duration::from_millis(500);

fn put(store: &FakeStore, id: u128) {
    let batch = Batch {
        id: BatchId(id),
        records: Vec::new(),
    };
    store.put(Stream::Main, &batch.encode());
}

fn follow(store: &Arc<FakeStore>, next: u64) -> Follower {
    let store = Arc::clone(store) as Arc<dyn LogStore>;
    let settings = FollowSettings::builder().wait(WAIT).build();
    Follower::new(store, Stream::Main, Offset(next), settings)
}

fn store() -> Arc<FakeStore> {
    Arc::new(FakeStore::new(Duration::from_mins(1)))
}

fn ids(followed: &Followed) -> Vec<u128> {
    let Followed::Batches(batches) = followed else {
        panic!("nothing followed: {followed:?}");
    };
    batches
        .iter()
        .filter_map(|batch| Some(batch.id?.0))
        .collect()
}

#[tokio::test(start_paused = true)]
async fn a_follower_resumes_where_it_was() {
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
async fn a_large_backlog_comes_in_pages_without_loss() {
    let store = store();
    for id in 1..=1_000 {
        put(&store, id);
    }
    let mut follower = follow(&store, 1);
    let tip = follower.tip();
    let mut read = Vec::new();
    while read.len() < 1_000 {
        assert_eq!(*tip.borrow(), None, "the end is not reached");
        read.extend(ids(&follower.next(&mut rng(1)).await));
    }
    assert_eq!(read, (1..=1_000).collect::<Vec<_>>());
}

#[tokio::test(start_paused = true)]
async fn the_tip_is_the_start_of_the_read_and_waits_for_the_consumer() {
    let store = store();
    put(&store, 1);
    let mut follower = follow(&store, 1);
    let tip = follower.tip();
    let started = Instant::now();
    follower.next(&mut rng(1)).await;
    sleep(Duration::from_millis(300)).await;
    assert_eq!(*tip.borrow(), None, "the consumer has not applied it");
    let second = Instant::now();
    follower.next(&mut rng(1)).await;
    assert_eq!(*tip.borrow(), Some(started));
    assert!(second.elapsed() >= WAIT, "a read without news waits");
    put(&store, 2);
    follower.next(&mut rng(1)).await;
    assert_eq!(*tip.borrow(), Some(second));
}

#[tokio::test(start_paused = true)]
async fn the_tip_stands_still_in_an_outage() {
    let store = store();
    put(&store, 1);
    let mut follower = follow(&store, 1);
    let tip = follower.tip();
    follower.next(&mut rng(1)).await;
    store.go_down();
    let started = Instant::now();
    let back = async {
        sleep(Duration::from_mins(5)).await;
        assert!(tip.borrow().is_some_and(|tip| tip <= started));
        put(&store, 2);
        store.come_back();
    };
    let mut rng = rng(1);
    let (read, ()) = tokio::join!(follower.next(&mut rng), back);
    assert_eq!(ids(&read), [2]);
    assert!(tip.borrow().is_some_and(|tip| tip <= started));
}

#[tokio::test(start_paused = true)]
async fn a_read_that_is_dropped_loses_nothing() {
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
async fn an_idle_follower_that_retention_passed_is_told() {
    let store = store();
    for id in 1..=3 {
        put(&store, id);
    }
    let mut follower = follow(&store, 1);
    follower.next(&mut rng(1)).await;
    put(&store, 4);
    sleep(Duration::from_mins(2)).await;
    put(&store, 5);
    let gap = Followed::Gap {
        wanted: Offset(4),
        earliest: Offset(5),
    };
    assert_eq!(follower.next(&mut rng(1)).await, gap);
}

#[tokio::test(start_paused = true)]
async fn everything_read_may_expire_without_a_gap() {
    let store = store();
    put(&store, 1);
    let mut follower = follow(&store, 1);
    follower.next(&mut rng(1)).await;
    sleep(Duration::from_mins(2)).await;
    assert_eq!(ids(&follower.next(&mut rng(1)).await), Vec::<u128>::new());
}

#[tokio::test(start_paused = true)]
async fn a_log_that_lost_appends_is_noticed() {
    let store = store();
    for id in 1..=3 {
        put(&store, id);
    }
    let mut follower = follow(&store, 1);
    follower.next(&mut rng(1)).await;
    store.wipe();
    let rewound = Followed::Rewound {
        wanted: Offset(4),
        end: Offset(0),
    };
    assert_eq!(follower.next(&mut rng(1)).await, rewound);
}

#[tokio::test(start_paused = true)]
async fn an_append_that_is_no_batch_holds_nobody_up() {
    let store = store();
    store.put(Stream::Main, b"\xff\xff");
    put(&store, 2);
    let followed = follow(&store, 1).next(&mut rng(1)).await;
    assert_eq!(ids(&followed), [2]);
}

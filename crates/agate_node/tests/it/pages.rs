//! Pages of the log over slow links.

use std::sync::Arc;
use std::time::Duration;

use agate_node::metrics::{Metrics, StreamKind};
use agate_node::store::{KeyedLog, MeteredLog, PagedLog, Stream};
use futures::future::join_all;
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};

use crate::support::{Cluster, FakeLog, Fault, SlowLink, wait_until};

const RECORD_BYTES: usize = 4_096;

fn put_backlog(log: &FakeLog, records: usize) {
    for number in 0..records {
        let key = format!("x/{number}");
        log.put(Stream::Main, &key, &[0; RECORD_BYTES]);
    }
}

fn paged(log: FakeLog) -> PagedLog {
    PagedLog::new(log.into(), Arc::default())
}

/// Reads the main stream up to its end.
async fn catch_up(log: Arc<dyn KeyedLog>) {
    let mut next = 0;
    loop {
        match log.read(Stream::Main, next, Duration::ZERO).await {
            Ok(page) => {
                next += page.records.len() as u64;
                if next >= page.end {
                    return;
                }
            }
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

/// Each reader requested the same page of 1 MB again while the link still transferred the first one.
#[rstest]
#[case::one_reader(1, 300_000)]
#[case::a_region(11, 7_500_000)]
#[case::a_region_with_less(11, 2_000_000)]
#[tokio::test(start_paused = true)]
async fn readers_catch_up_over_a_slow_link(#[case] readers: usize, #[case] bytes_per_s: usize) {
    let records = 512;
    let shared = FakeLog::default();
    put_backlog(&shared, records);
    let link = SlowLink::new(bytes_per_s);
    let all = (0..readers).map(|_| {
        let log = paged(shared.client_behind(&link));

        catch_up(Arc::new(log))
    });
    let needed = readers * records * RECORD_BYTES;
    let limit = Duration::from_secs_f64(2.0 * needed as f64 / bytes_per_s as f64);
    let result = timeout(limit, join_all(all)).await;
    let transferred = link.transferred();
    assert!(
        result.is_ok(),
        "{transferred} bytes for {needed} after {limit:?}"
    );
    assert!(
        transferred < needed * 3 / 2,
        "{transferred} bytes for {needed}"
    );
}

/// An entry paused after each page, so that smaller pages would have made it slower.
#[tokio::test(start_paused = true)]
async fn an_entry_catches_up_without_pauses_between_pages() {
    let cluster = Cluster::new();
    let _leader = cluster.entry("e1", cluster.log.client()).await;
    let metrics = Arc::new(Metrics::default());
    let log = Arc::new(paged(cluster.log.client()));
    let log: Arc<dyn KeyedLog> = Arc::new(MeteredLog::new(log, Arc::clone(&metrics)));
    let _entry = cluster.entry("e2", log).await;
    put_backlog(&cluster.log, 1_024);
    let began = Instant::now();
    let backlog = (1_024 * RECORD_BYTES) as u64;
    wait_until("all is read", || {
        metrics.read_bytes(StreamKind::Main) >= backlog
    })
    .await;
    assert!(
        began.elapsed() < Duration::from_millis(600),
        "{:?}",
        began.elapsed()
    );
}

/// A limit below the size of a configuration cost another call for each one.
#[rstest]
#[case::in_time(0, 2)]
#[case::after_timeouts(1, 1)]
#[tokio::test(start_paused = true)]
async fn configurations_share_a_page_until_reads_time_out(
    #[case] timeouts: usize,
    #[case] expected: usize,
) {
    let shared = FakeLog::default();
    for version in 0..2 {
        shared.put(Stream::Config, &format!("c{version}"), &vec![0; 300_000]);
    }
    let client = shared.client();
    let log = paged(client.clone());
    client.set_fault(Fault::AnswersNothing);
    for _ in 0..timeouts {
        let read = log.read(Stream::Config, 0, Duration::ZERO).await;
        read.expect_err("nothing is answered");
    }
    client.set_fault(Fault::None);
    let page = log.read(Stream::Config, 0, Duration::ZERO).await;
    let page = page.expect("it is answered");
    assert_eq!(page.records.len(), expected);
}

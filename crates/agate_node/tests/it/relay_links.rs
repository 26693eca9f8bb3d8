//! Peers with slow links.

use std::sync::Arc;
use std::time::Duration;

use agate_node::store::{KeyedLog, Stream};
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::support::{FakeLog, Fault, Network, SlowLink};

/// Bytes per second of a link that carries less than 0.9 MB within the timeout of an attempt at a peer.
const LINK_BYTES_PER_S: usize = 1_650_000;

/// Returns the log of a machine that the log rejects and whose only peer has a slow link.
fn log_behind_slow_peer(shared: &FakeLog) -> Arc<dyn KeyedLog> {
    let network = Network::default();
    let link = SlowLink::new(LINK_BYTES_PER_S);
    network.machine(1, &shared.client_behind(&link), &[1]);
    let own = shared.client();
    own.set_fault(Fault::RefusesAll);
    network.machine(9, &own, &[1]).0.log
}

/// Reads a stream to its end as its followers do.
async fn read_to_end(log: &dyn KeyedLog, stream: Stream) -> u64 {
    let mut next = 0;
    loop {
        match log.read(stream, next, Duration::ZERO).await {
            Ok(page) => {
                next += page.records.len() as u64;
                if next >= page.end {
                    return next;
                }
            }
            Err(_) => sleep(Duration::from_millis(100)).await,
        }
    }
}

/// The peer needed longer for its own read than the caller waited, and read the same again and again.
#[rstest]
#[case::backlog(Stream::Main, 4_000, 400)]
#[case::configuration(Stream::Config, 900_000, 1)]
#[tokio::test(start_paused = true)]
async fn a_peer_with_a_slow_link_relays_a_large_read(
    #[case] stream: Stream,
    #[case] bytes: usize,
    #[case] records: u64,
) {
    let shared = FakeLog::default();
    for number in 0..records {
        shared.put(stream, &format!("x/{number}"), &vec![0; bytes]);
    }
    let log = log_behind_slow_peer(&shared);
    let read = read_to_end(&*log, stream);
    let read = timeout(Duration::from_secs(10), read).await;
    assert_eq!(read.ok(), Some(records));
}

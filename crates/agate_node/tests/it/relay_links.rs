//! Peers with slow links, and the bytes that they relay.

use std::sync::Arc;
use std::time::Duration;

use agate_node::relay::{RelayRequest, newest_request, read_request, status};
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

/// Nothing limited the bytes that a peer had in flight for others: each of up to 128 reads got a page of 1 MB.
#[rstest]
#[case::read(read_request(Stream::Main, 0, Duration::ZERO))]
#[case::load(newest_request(Stream::Main))]
#[tokio::test(start_paused = true)]
async fn reads_are_refused_while_many_bytes_are_in_flight(#[case] request: RelayRequest) {
    let shared = FakeLog::default();
    for number in 0..64 {
        shared.put(Stream::Main, &format!("x/{number}"), &[0; 16_384]);
    }
    let (relay, _) = Network::default().machine(1, &shared, &[1]);
    let mut sending = Vec::new();
    let refused = loop {
        let response = relay.server.handle(&request).await;
        if response.status != status::OK {
            break response;
        }
        sending.push(relay.server.outgoing(response.body));
        assert!(sending.len() < 8, "nothing is refused");
    };
    assert_eq!(refused.status, status::UNAVAILABLE);
    assert_eq!(refused.body, b"too many calls");
    sending.clear();
    let response = relay.server.handle(&request).await;
    assert_eq!(response.status, status::OK);
}

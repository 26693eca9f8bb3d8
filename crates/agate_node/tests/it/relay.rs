//! Calls to the log through a peer, and failures of peers.

use std::sync::Arc;
use std::time::Duration;

use agate_node::metrics::Event;
use agate_node::relay::{Relay, read_request, status};
use agate_node::store::{AppendError, Fence, KeyedLog, ORDER_STREAMS, Stream};
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};

use crate::support::{FakeLog, Fault, Link, Network, wait_until};

/// Timeout of an append over all attempts.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Far less than the timeout of a call, far more than two undisturbed attempts.
const SHORT: Duration = Duration::from_millis(100);

const NO_WAIT: Duration = Duration::ZERO;

const fn fence(sequence: u64) -> Fence {
    Fence { epoch: 3, sequence }
}

/// A machine with the number 9 and its own connection to the log, and two relays.
struct Site {
    network: Network,
    shared: FakeLog,
    own: FakeLog,
    log: Arc<dyn KeyedLog>,
}

impl Site {
    fn new() -> Self {
        let (network, shared) = (Network::default(), FakeLog::default());
        for machine in [1, 2] {
            network.machine(machine, &shared.client(), &[1, 2]);
        }
        let own = shared.client();
        let (Relay { log, .. }, _) = network.machine(9, &own, &[1, 2]);
        Self {
            network,
            shared,
            own,
            log,
        }
    }

    async fn append(&self, key: &str) -> Result<u64, AppendError> {
        let records = [(key.to_owned(), b"value".to_vec())];
        let append = self.log.append(Stream::Main, &records, None);
        let result = timeout(APPEND_TIMEOUT + SHORT, append).await;
        result.expect("the append ends with its timeout")
    }

    fn set_links(&self, link: Link) {
        self.network.set_link(1, link);
        self.network.set_link(2, link);
    }

    /// Sets the link to the relay that the machine uses first.
    async fn set_first_link(&self, link: Link) {
        assert_eq!(self.append("probe").await, Ok(1));
        let first = if self.network.requests(1).is_empty() {
            2
        } else {
            1
        };
        self.network.set_link(first, link);
    }

    fn relayed(&self) -> usize {
        self.network.requests(1).len() + self.network.requests(2).len()
    }
}

#[tokio::test(start_paused = true)]
async fn every_call_of_a_rejected_machine_is_served_by_a_peer() {
    let site = Site::new();
    site.own.set_fault(Fault::RefusesAll);
    let began = Instant::now();
    assert_eq!(site.append("a").await, Ok(1));
    let page = site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    let newest = site.log.newest(Stream::Main).await.unwrap();
    assert!(began.elapsed() < SHORT, "{:?}", began.elapsed());
    assert_eq!((page.end, newest.end), (1, 1));
    assert_eq!(page.records, newest.records);
}

/// Each call took 0.8 s, so that a lease of 5.5 s was not renewed.
#[tokio::test(start_paused = true)]
async fn a_silent_log_is_skipped_after_its_first_timeout() {
    let site = Site::new();
    site.own.set_fault(Fault::AnswersNothing);
    assert!(matches!(
        site.append("a").await,
        Err(AppendError::Unknown(_))
    ));
    for _ in 0..100 {
        let began = Instant::now();
        site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
        site.append("a").await.unwrap();
        assert!(
            began.elapsed() < SHORT,
            "a probe delayed a call: {:?}",
            began.elapsed()
        );
        sleep(Duration::from_millis(50)).await;
    }
    site.own.set_fault(Fault::None);
    let began = Instant::now();
    while site.log.is_relayed() {
        site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
        assert!(
            began.elapsed() < Duration::from_millis(1_700),
            "the failover goes on"
        );
    }
}

/// Makes a fenced append and returns its result and duration.
async fn append_fenced(log: &dyn KeyedLog, sequence: u64) -> (Result<u64, AppendError>, Duration) {
    let records = [("l".to_owned(), b"value".to_vec())];
    let began = Instant::now();
    let result = log.append(Stream::Main, &records, Some(fence(sequence)));
    (result.await, began.elapsed())
}

/// Loaded peers answered a rejected leader with timeouts, and nothing was scheduled for 5 s. After a
/// single slow append a new leader went to such peers as well.
#[rstest]
#[case::rejected(Fault::RefusesAll)]
#[case::queue_full(Fault::RejectsSlowly)]
#[case::unanswered(Fault::LosesAppendReplies)]
#[case::silent(Fault::AnswersNothing)]
#[case::undisturbed(Fault::None)]
#[tokio::test(start_paused = true)]
async fn a_fenced_append_is_made_once_at_the_log_and_starts_no_failover(#[case] fault: Fault) {
    let (site, without_relays) = (Site::new(), FakeLog::default());
    site.own.set_fault(fault);
    without_relays.set_fault(fault);
    for sequence in 1..=4 {
        let expected = append_fenced(&without_relays, sequence).await;
        assert_eq!(append_fenced(&*site.log, sequence).await, expected);
        assert!(!site.log.is_relayed());
    }
    assert_eq!(site.own.append_attempts(), 4);
    assert_eq!(site.relayed(), 0);
    assert_eq!(
        site.shared.keys(Stream::Main),
        without_relays.keys(Stream::Main)
    );
}

/// Peers are tried first in a failover; the leader's appends would have gone on through them.
#[tokio::test(start_paused = true)]
async fn a_fenced_append_in_a_failover_is_not_offered_to_a_peer() {
    let site = Site::new();
    site.own.set_fault(Fault::RefusesAll);
    for _ in 0..2 {
        site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    }
    assert!(site.log.is_relayed());
    let before = (site.relayed(), site.own.append_attempts());
    let (result, took) = append_fenced(&*site.log, 1).await;
    assert!(matches!(result, Err(AppendError::NotDone(_))), "{result:?}");
    assert!(took < SHORT, "{took:?}");
    let after = (site.relayed(), site.own.append_attempts());
    assert_eq!(after, (before.0, before.1 + 1));
}

/// A leader whose heartbeats succeed would have ended every failover of its reads, and one whose
/// heartbeats fail would have sent them to a peer.
#[tokio::test(start_paused = true)]
async fn fenced_appends_do_not_count_for_the_failover() {
    let site = Site::new();
    site.own.set_fault(Fault::RefusesAll);
    site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    append_fenced(&*site.log, 1).await.0.unwrap_err();
    assert!(!site.log.is_relayed(), "a failure was counted");
    site.own.set_fault(Fault::RefusesMainReads);
    append_fenced(&*site.log, 1).await.0.unwrap();
    site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    assert!(site.log.is_relayed(), "a success reset the rejections");
    append_fenced(&*site.log, 2).await.0.unwrap();
    assert!(site.log.is_relayed(), "a success ended the failover");
}

/// "Not recorded" would be a false statement to the caller.
#[tokio::test(start_paused = true)]
async fn an_append_whose_relay_dies_is_unknown() {
    let site = Site::new();
    site.own.set_fault(Fault::RefusesAll);
    for _ in 0..2 {
        site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    }
    assert!(site.log.is_relayed(), "the log is tried last");
    site.set_links(Link::DiesBeforeResponse);
    let result = site.append("a").await;
    assert!(matches!(result, Err(AppendError::Unknown(_))), "{result:?}");
}

#[tokio::test(start_paused = true)]
async fn a_relay_paused_before_its_response_costs_one_timeout() {
    let site = Site::new();
    site.own.set_fault(Fault::RefusesAll);
    site.set_first_link(Link::LosesResponses).await;
    let began = Instant::now();
    let wait = Duration::from_millis(700);
    assert!(
        site.log.read(Stream::Main, 9, wait).await.is_err(),
        "no answer from memory"
    );
    assert!(
        began.elapsed() < wait + Duration::from_millis(650),
        "{:?}",
        began.elapsed()
    );
    let began = Instant::now();
    site.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    assert!(began.elapsed() < SHORT, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn an_append_behind_a_one_way_partition_is_recorded_within_its_timeout() {
    let site = Site::new();
    site.own.set_fault(Fault::RefusesAll);
    site.set_first_link(Link::LosesRequests).await;
    assert_eq!(site.append("a").await, Ok(2));
}

/// A refusal has to be as quick and as certain as without relays.
#[tokio::test(start_paused = true)]
async fn without_a_reachable_seed_calls_go_to_the_log() {
    let site = Site::new();
    site.set_links(Link::Refuses);
    site.own.set_fault(Fault::RefusesAll);
    for _ in 0..3 {
        let began = Instant::now();
        assert!(matches!(
            site.append("a").await,
            Err(AppendError::NotDone(_))
        ));
        assert!(began.elapsed() < SHORT, "{:?}", began.elapsed());
    }
    site.own.set_fault(Fault::None);
    assert_eq!(site.append("a").await, Ok(1));
    assert!(!site.log.is_relayed());
}

/// Attempts at peers must not multiply the calls to a log that answers nobody, and peers that
/// refuse must not delay its return.
#[tokio::test(start_paused = true)]
async fn a_log_that_answers_nobody_gets_no_more_calls() {
    let (network, shared) = (Network::default(), FakeLog::default());
    let own: Vec<_> = (0..3).map(|_| shared.client()).collect();
    let machines = (1..).zip(&own);
    let logs: Vec<_> = machines
        .map(|(machine, log)| network.machine(machine, log, &[1, 2, 3]).0.log)
        .collect();
    for log in &own {
        log.set_fault(Fault::AnswersNothing);
    }
    let records = [("a".to_owned(), Vec::new())];
    for _ in 0..10 {
        let appends = logs
            .iter()
            .map(|log| log.append(Stream::Main, &records, None));
        for result in futures::future::join_all(appends).await {
            assert!(matches!(result, Err(AppendError::Unknown(_))), "{result:?}");
        }
    }
    let attempts: usize = own.iter().map(FakeLog::append_attempts).sum();
    assert!(attempts <= 30, "{attempts} attempts for 30 appends");
    let requests: usize = (1..=3).map(|machine| network.requests(machine).len()).sum();
    assert!(requests <= 30, "{requests} requests to peers");
    for log in &own {
        log.set_fault(Fault::None);
    }
    for log in &logs {
        log.append(Stream::Main, &records, None).await.unwrap();
    }
}

/// The log rejects late because its queue is full; the same records from a peer would only
/// lengthen it.
#[tokio::test(start_paused = true)]
async fn a_late_rejection_is_not_retried_at_a_peer() {
    let site = Site::new();
    site.own.set_fault(Fault::RejectsSlowly);
    for _ in 0..5 {
        assert!(matches!(
            site.append("a").await,
            Err(AppendError::NotDone(_))
        ));
    }
    assert_eq!(site.relayed(), 0);
    assert!(!site.log.is_relayed());
}

/// A relay that passed calls on could build a loop, and its answer would be late.
#[tokio::test(start_paused = true)]
async fn a_relay_that_the_log_rejects_refuses_and_passes_nothing_on() {
    let (network, shared) = (Network::default(), FakeLog::default());
    let rejected = shared.client();
    rejected.set_fault(Fault::RefusesAll);
    let (first, metrics) = network.machine(1, &rejected, &[2]);
    network.machine(2, &shared, &[1]);
    first.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    first.log.read(Stream::Main, 0, NO_WAIT).await.unwrap();
    assert!(first.log.is_relayed());
    let (third, _) = network.machine(3, &rejected, &[1]);
    let before = network.requests(2).len();
    third.log.read(Stream::Main, 0, NO_WAIT).await.unwrap_err();
    assert_eq!(network.requests(2).len(), before);
    assert_eq!(metrics.event_count(Event::RelayRefused), 1);
    assert_eq!(metrics.event_count(Event::RelayUsed), 2);
}

/// Long polls of many machines would use up the memory of an entry.
#[tokio::test(start_paused = true)]
async fn a_relay_refuses_calls_beyond_its_bound_at_once() {
    let (network, shared) = (Network::default(), FakeLog::default());
    let (_, metrics) = network.machine(1, &shared, &[1]);
    let rejected = shared.client();
    rejected.set_fault(Fault::RefusesAll);
    let (relay, _) = network.machine(9, &rejected, &[1]);
    for _ in 0..140 {
        let log = Arc::clone(&relay.log);
        tokio::spawn(async move { log.read(Stream::Main, 0, Duration::from_millis(500)).await });
    }
    wait_until("calls are refused", || {
        metrics.event_count(Event::RelayRefused) > 0
    })
    .await;
    assert_eq!(metrics.event_count(Event::RelayServed), 128);
}

/// The log rejects calls to streams that it does not have; two of them began a failover of the
/// relay.
#[tokio::test(start_paused = true)]
async fn a_call_to_a_stream_that_does_not_exist_is_malformed_and_starts_no_failover() {
    let (network, shared) = (Network::default(), FakeLog::default());
    let (relay, _) = network.machine(1, &shared, &[1, 2]);
    shared.set_fault(Fault::RefusesAll);
    for _ in 0..2 {
        let request = read_request(Stream::Orders(ORDER_STREAMS), 0, NO_WAIT);
        let response = relay.server.handle(&request).await;
        assert_eq!(response.status, status::MALFORMED);
    }
    assert!(!relay.log.is_relayed());
}

/// A large configuration came twice in each second of a failover, from the peer and from the log.
#[tokio::test(start_paused = true)]
async fn the_configuration_is_not_read_to_find_out_whether_the_log_serves() {
    let site = Site::new();
    site.own.set_fault(Fault::AnswersNothing);
    site.append("a").await.unwrap_err();
    for _ in 0..20 {
        site.log.read(Stream::Config, 0, NO_WAIT).await.unwrap();
        sleep(Duration::from_millis(200)).await;
    }
    assert_eq!(site.own.config_reads(), 0);
}

//! Entries and agents that the log rejects, with relays.

use std::time::Duration;

use agate_node::entry::Answer;
use agate_node::metrics::Event;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::support::{
    Caller as _, Cluster, FakeWorker, Fault, Link, Network, one_task_job, wait_until,
};

/// Longer than a lease.
const REJECTION: Duration = Duration::from_secs(9);

/// Longest time until another entry has replaced a leader: 1.7 s without a heartbeat, a claim delay of
/// 0.3 s, the checks for a vacancy and the takeover.
const MAX_REPLACEMENT_TIME: Duration = Duration::from_millis(2_500);

/// An agent that the log rejected for longer than a lease lost all runs of its worker.
#[tokio::test(start_paused = true)]
async fn a_rejected_agent_keeps_its_runs() {
    let (cluster, network) = (Cluster::new(), Network::default());
    network.machine(1, &cluster.log.client(), &[1]);
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.keep_tasks_running();
    let log = cluster.log.client();
    let agent = Cluster::agent(network.machine(2, &log, &[1]).0.log);
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    for fault in [Fault::RefusesAll, Fault::AnswersNothing] {
        log.set_fault(fault);
        sleep(REJECTION).await;
        log.set_fault(Fault::None);
        sleep(REJECTION).await;
    }
    assert_eq!(worker.running(), 1);
    assert_eq!(worker.started_runs().len(), 1, "it was never started again");
}

/// A lease must not rest on a read that a relay made before it was paused.
#[tokio::test(start_paused = true)]
async fn runs_end_before_they_continue_elsewhere_when_the_relay_is_paused() {
    let (cluster, network) = (Cluster::new(), Network::default());
    network.machine(1, &cluster.log.client(), &[1]);
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.keep_tasks_running();
    let log = cluster.log.client();
    log.set_fault(Fault::RefusesAll);
    let agent = Cluster::agent(network.machine(2, &log, &[1]).0.log);
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    network.set_link(1, Link::LosesResponses);
    wait_until("it runs elsewhere", || {
        assert!(
            worker.running() + other.running() <= 1,
            "two runs at the same time"
        );
        other.running() == 1
    })
    .await;
}

/// A rejected leader that went on through loaded peers scheduled nothing for 5 s. Without a peer the
/// callers of its entry were refused.
#[tokio::test(start_paused = true)]
async fn a_rejected_leader_is_replaced_and_its_entry_accepts_jobs() {
    let (cluster, network) = (Cluster::new(), Network::default());
    let log = cluster.log.client();
    let first = cluster
        .entry("e1", network.machine(1, &log, &[1, 2]).0.log)
        .await;
    wait_until("it schedules", || {
        first.metrics().event_count(Event::LeaderTaken) == 1
    })
    .await;
    let relay = network.machine(2, &cluster.log.client(), &[1, 2]).0;
    let second = cluster.entry("e2", relay.log).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(2)).await;
    let taken = || second.metrics().event_count(Event::LeaderTaken);
    let began = Instant::now();
    log.set_fault(Fault::RefusesAll);
    for job in 1..=30 {
        assert_eq!(
            first.submit_job(job, one_task_job()).await,
            Answer::Accepted
        );
        assert!(
            taken() == 1 || began.elapsed() < MAX_REPLACEMENT_TIME,
            "no other entry has taken over"
        );
        sleep(Duration::from_millis(300)).await;
    }
    sleep(Duration::from_secs(1)).await;
    assert_eq!(worker.started_runs().len(), 30, "each job runs once");
    assert_eq!(first.metrics().event_count(Event::LeaderLost), 1);
    log.set_fault(Fault::None);
    sleep(REJECTION).await;
    assert_eq!(first.metrics().event_count(Event::LeaderTaken), 1);
    assert_eq!(taken(), 1, "it leads until it stops");
}

#[tokio::test(start_paused = true)]
async fn an_entry_whose_calls_go_through_a_peer_does_not_claim_leadership() {
    let (cluster, network) = (Cluster::new(), Network::default());
    network.machine(1, &cluster.log.client(), &[1]);
    let stop = CancellationToken::new();
    let first = cluster.stoppable_entry("e1", &stop).await;
    wait_until("it schedules", || {
        first.metrics().event_count(Event::LeaderTaken) == 1
    })
    .await;
    let log = cluster.log.client();
    let second = cluster
        .entry("e2", network.machine(2, &log, &[1]).0.log)
        .await;
    log.set_fault(Fault::RefusesAll);
    sleep(Duration::from_secs(2)).await;
    stop.cancel();
    sleep(REJECTION).await;
    assert!(second.is_ready(), "it reads through the peer");
    let taken = || second.metrics().event_count(Event::LeaderTaken);
    assert_eq!(taken(), 0);
    log.set_fault(Fault::None);
    wait_until("it schedules", || taken() == 1).await;
}

//! What the processes read of the operator's configuration.

use std::sync::Arc;
use std::time::Duration;

use agate_node::entry::Answer;
use agate_node::metrics::{Metrics, StreamKind};
use agate_node::store::{KeyedLog, MeteredLog, Stream};
use tokio::time::sleep;

use crate::support::{Cluster, FakeWorker, Fault, UNKNOWN_PATH, large_configuration, wait_until};

/// Bytes per second that a node may spend on control.
const CONTROL_BYTES_PER_S: u64 = 5_000;

fn metered(cluster: &Cluster) -> (Arc<dyn KeyedLog>, Arc<Metrics>) {
    let metrics = Arc::new(Metrics::default());
    let log = MeteredLog::new(cluster.log.client().into(), Arc::clone(&metrics));
    (Arc::new(log), metrics)
}

/// Agents that read all routes saturated the link between two regions.
#[tokio::test(start_paused = true)]
async fn an_agent_does_not_read_the_routes() {
    let cluster = Cluster::new();
    cluster
        .log
        .put(Stream::Config, "config", &large_configuration(2));
    let (log, metrics) = metered(&cluster);
    let agent = Cluster::zone_agent(log);
    let _worker = FakeWorker::open("w1");
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    for version in 3..6 {
        sleep(Duration::from_secs(5)).await;
        let config = large_configuration(version);
        cluster.log.put(Stream::Config, "config", &config);
    }
    sleep(Duration::from_secs(5)).await;
    let read = metrics.read_bytes(StreamKind::Config);
    assert!(read <= 20 * CONTROL_BYTES_PER_S, "{read} bytes in 20 s");
}

/// Each request for an unknown queue loaded the whole configuration.
#[tokio::test(start_paused = true)]
async fn requests_for_unknown_queues_do_not_read_the_configuration_again() {
    let cluster = Cluster::new();
    cluster
        .log
        .put(Stream::Config, "config", &large_configuration(2));
    let (log, metrics) = metered(&cluster);
    let entry = cluster.entry("e1", log).await;
    let before = metrics.read_bytes(StreamKind::Config);
    for _ in 0..20 {
        let found = entry.find_route("host", UNKNOWN_PATH).await;
        assert_eq!(found.err(), Some(Answer::NoQueue));
    }
    let read = metrics.read_bytes(StreamKind::Config) - before;
    assert!(
        read <= CONTROL_BYTES_PER_S,
        "{read} bytes for an unchanged configuration"
    );
}

/// After a failure the entry discarded the page that it had waited for, and loaded everything again.
#[tokio::test(start_paused = true)]
async fn a_configuration_is_read_once_after_a_failure() {
    let cluster = Cluster::new();
    let client = cluster.log.client();
    let metrics = Arc::new(Metrics::default());
    let log = MeteredLog::new(client.clone().into(), Arc::clone(&metrics));
    let entry = cluster
        .entry("e1", Arc::new(log) as Arc<dyn KeyedLog>)
        .await;
    client.set_fault(Fault::RefusesConfig);
    sleep(Duration::from_secs(2)).await;
    let config = large_configuration(2);
    cluster.log.put(Stream::Config, "config", &config);
    client.set_fault(Fault::None);
    wait_until("it is in force", || entry.routes().version == 2).await;
    sleep(Duration::from_secs(2)).await;
    let read = metrics.read_bytes(StreamKind::Config);
    assert!(read < config.len() as u64 * 3 / 2, "{read} bytes");
}

/// Each of the requests held the next one up for a read of its own, and the last ones were refused.
#[tokio::test(start_paused = true)]
async fn requests_for_unknown_queues_that_arrive_together_share_a_read() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    let before = log.config_reads();
    let requests = (0..400).map(|_| entry.find_route("host", UNKNOWN_PATH));
    for found in futures::future::join_all(requests).await {
        assert_eq!(found.err(), Some(Answer::NoQueue));
    }
    let reads = log.config_reads() - before;
    assert!(reads <= 3, "{reads} reads");
}

//! Planned stops of agents.

use std::time::Duration;

use agate_jobs::lease;
use agate_node::agent::WorkerRegistry;
use agate_node::store::{KeyedLog as _, Stream, order_stream};
use tokio::time::{Instant, sleep};

use crate::orders::{put, start_order};
use crate::support::{
    Behavior, Caller as _, Cluster, FakeWorker, Fault, MAX_LEASE, STOP_LIMIT, one_task_job,
    wait_until,
};

/// Time that the announcement of a stop (up to 1.2 s), its last report and the next placement may take
/// besides the last lease.
pub(crate) const STOP_MARGIN: Duration = Duration::from_millis(1_500);

/// Stops an agent as its process does after SIGTERM.
pub(crate) async fn stop(agent: WorkerRegistry) {
    agent.shut_down(STOP_LIMIT).await;
}

pub(crate) fn drain(agent: &WorkerRegistry, name: &str) {
    let mut heartbeat = FakeWorker::heartbeat(name, name, 1);
    heartbeat.sequence = 2;
    heartbeat.draining = true;
    agent.apply_heartbeat(heartbeat);
}

/// Returns the number of tasks that have been bound to a worker.
fn bound(cluster: &Cluster, worker: &str) -> usize {
    let keys = cluster
        .log
        .keys(order_stream(worker, cluster.log.order_streams()));
    let prefix = format!("r/{worker}/");
    keys.iter().filter(|key| key.starts_with(&prefix)).count()
}

/// Orders went to an agent that had stopped until its silence was noticed, and their runs waited for
/// a whole lease (LOST on thistle-orders-grown).
#[tokio::test(start_paused = true)]
async fn no_order_goes_to_an_agent_that_has_stopped() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (_worker, agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    stop(agent).await;
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(10)).await;
    assert_eq!(bound(&cluster, "w1"), 0);
}

/// Runs of an agent that was stopped for good waited for its suspicion besides the lease.
#[tokio::test(start_paused = true)]
async fn runs_of_a_removed_agent_continue_elsewhere_after_their_last_lease() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (left, agent) = cluster.worker("w1");
    left.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || left.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    let began = Instant::now();
    stop(agent).await;
    wait_until("it runs elsewhere", || {
        let running = left.running() + other.running();
        assert!(running <= 1, "two runs at the same time");
        other.running() == 1
    })
    .await;
    let limit = lease::expiry_delay(lease::duration(MAX_LEASE)) + STOP_MARGIN;
    assert!(began.elapsed() <= limit, "{:?}", began.elapsed());
}

/// An order that arrives while the agent stops must not wait for a lease.
#[tokio::test(start_paused = true)]
async fn an_order_that_crosses_the_stop_of_its_agent_is_carried_out_elsewhere_at_once() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (_worker, agent) = cluster.worker("w1");
    // Until then a start of an earlier agent might still be carried out.
    sleep(Duration::from_secs(3)).await;
    let stopping = tokio::spawn(stop(agent));
    entry.submit_job(1, one_task_job()).await;
    let (other, _agent) = cluster.worker("w2");
    let began = Instant::now();
    wait_until("it runs elsewhere", || other.running() == 1).await;
    assert!(began.elapsed() < STOP_MARGIN, "{:?}", began.elapsed());
    stopping.await.expect("the agent stops");
}

/// The runs of an agent that stops while nobody leads are settled by the next leader.
#[tokio::test(start_paused = true)]
async fn a_leader_that_takes_over_knows_which_agents_have_stopped() {
    let cluster = Cluster::new();
    let stop_entry = tokio_util::sync::CancellationToken::new();
    let first = cluster.stoppable_entry("e1", &stop_entry).await;
    let (left, agent) = cluster.worker("w1");
    left.keep_tasks_running();
    first.submit_job(1, one_task_job()).await;
    wait_until("it runs", || left.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    stop_entry.cancel();
    sleep(Duration::from_millis(500)).await;
    let began = Instant::now();
    stop(agent).await;
    let _next = cluster.entry("e2", cluster.log.client()).await;
    wait_until("it runs elsewhere", || other.running() == 1).await;
    let limit = lease::expiry_delay(lease::duration(MAX_LEASE)) + STOP_MARGIN;
    let limit = limit + Duration::from_secs(1);
    assert!(began.elapsed() <= limit, "{:?}", began.elapsed());
    assert_eq!(left.running(), 0);
}

/// A worker that refuses connections can't be told to stop anything; the stop of its agent ends all
/// the same.
#[tokio::test(start_paused = true)]
async fn the_stop_of_an_agent_beside_an_unreachable_worker_ends_in_time() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    worker.set_behavior(Behavior::Unreachable);
    let began = Instant::now();
    stop(agent).await;
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn the_departure_of_a_worker_is_recorded_before_its_agent_exits() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.keep_tasks_running();
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    sleep(Duration::from_secs(1)).await;
    log.set_fault(Fault::RefusesAppends);
    worker.crash();
    agent.mark_gone("w1");
    let stopping = tokio::spawn(stop(agent));
    sleep(Duration::from_millis(1_300)).await;
    log.set_fault(Fault::None);
    stopping.await.expect("the agent stops");
    let began = Instant::now();
    wait_until("it runs elsewhere", || other.running() == 1).await;
    assert!(began.elapsed() < STOP_MARGIN, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn an_agent_stops_in_time_although_the_log_is_silent() {
    let cluster = Cluster::new();
    let _entry = cluster.entry("e1", cluster.log.client()).await;
    let _worker = FakeWorker::open("w1");
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(1)).await;
    log.set_fault(Fault::Silent);
    sleep(Duration::from_secs(10)).await;
    let began = Instant::now();
    stop(agent).await;
    assert!(began.elapsed() <= STOP_LIMIT, "{:?}", began.elapsed());
}

/// A return is recorded only if the worker rejects the run from then on. A successor, which still finds
/// the order, would otherwise start the run while it also runs elsewhere.
#[tokio::test(start_paused = true)]
async fn an_agent_that_stops_returns_no_run_that_its_successor_may_start() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    sleep(Duration::from_secs(4)).await;
    let stopping = tokio::spawn(stop(agent));
    worker.set_behavior(Behavior::Unreachable);
    entry.submit_job(1, one_task_job()).await;
    stopping.await.expect("the agent stops");
    assert_eq!(bound(&cluster, "w1"), 1, "the order crossed the stop");
    let keys = cluster.log.keys(Stream::Main);
    assert!(!keys.iter().any(|key| key.starts_with("n/")), "{keys:?}");
    worker.set_behavior(Behavior::Healthy);
    let next = Cluster::agent(cluster.log.client());
    next.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    wait_until("it runs", || {
        let running = worker.running() + other.running();
        assert!(running <= 1, "two runs at the same time");
        running == 1
    })
    .await;
    sleep(Duration::from_secs(10)).await;
    assert_eq!(worker.running() + other.running(), 1);
}

/// The leader and an agent of one zone are told to stop together: the announcement may be read by neither
/// leader, and the next one reads that the agent has stopped.
#[rstest::rstest]
#[tokio::test(start_paused = true)]
async fn the_runs_of_an_agent_that_stops_together_with_the_leader_continue_elsewhere(
    #[values(0, 200, 900, 1_200, 1_400)] leader_delay_ms: u64,
) {
    let cluster = Cluster::new();
    let stop_entry = tokio_util::sync::CancellationToken::new();
    let first = cluster.stoppable_entry("e1", &stop_entry).await;
    let _second = cluster.entry("e2", cluster.log.client()).await;
    let (left, agent) = cluster.worker("w1");
    left.keep_tasks_running();
    first.submit_job(1, one_task_job()).await;
    wait_until("it runs", || left.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    let began = Instant::now();
    let resigning = async {
        sleep(Duration::from_millis(leader_delay_ms)).await;
        stop_entry.cancel();
    };
    tokio::join!(stop(agent), resigning);
    wait_until("it runs elsewhere", || {
        let running = left.running() + other.running();
        assert!(running <= 1, "two runs at the same time");
        other.running() == 1
    })
    .await;
    let limit = lease::expiry_delay(lease::duration(MAX_LEASE)) + STOP_MARGIN;
    let limit = limit + Duration::from_secs(1);
    assert!(began.elapsed() <= limit, "{:?}", began.elapsed());
}

/// A start that doesn't reach its worker is returned without telling the worker to reject the run. While
/// nobody leads, the order stays, and the agent's successor would start a run that the next leader starts
/// elsewhere.
#[tokio::test(start_paused = true)]
async fn a_run_that_was_returned_right_before_a_stop_is_not_started_by_the_successor() {
    let cluster = Cluster::new();
    let stop_entry = tokio_util::sync::CancellationToken::new();
    let entry = cluster.stoppable_entry("e1", &stop_entry).await;
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(1)).await;
    let (worker, agent) = cluster.worker("w1");
    stop_entry.cancel();
    worker.keep_tasks_running();
    sleep(Duration::from_secs(4)).await;
    assert_eq!(worker.start_attempts(), 0, "nobody leads");
    worker.set_behavior(Behavior::Unreachable);
    sleep(Duration::from_millis(800)).await;
    put(&cluster.log, "w1", &start_order("w1", 0, 1));
    sleep(Duration::from_millis(20)).await;
    stop(agent).await;
    worker.set_behavior(Behavior::Healthy);
    let next = Cluster::agent(cluster.log.client());
    next.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(3)).await;
    let keys = cluster.log.keys(Stream::Main);
    let is_returned = keys.iter().any(|key| key.starts_with("n/"));
    let is_started = !worker.started_runs().is_empty();
    assert!(!(is_returned && is_started), "a returned run was started");
}

/// The same for an agent that is killed, also after it has tried to tell the worker.
#[tokio::test(start_paused = true)]
async fn a_run_that_was_returned_right_before_a_crash_is_not_started_by_the_successor() {
    let cluster = Cluster::new();
    let stop_entry = tokio_util::sync::CancellationToken::new();
    let entry = cluster.stoppable_entry("e1", &stop_entry).await;
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(1)).await;
    let worker = FakeWorker::open("w1");
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    stop_entry.cancel();
    worker.keep_tasks_running();
    sleep(Duration::from_secs(4)).await;
    assert_eq!(worker.start_attempts(), 0, "nobody leads");
    worker.set_behavior(Behavior::Unreachable);
    sleep(Duration::from_millis(800)).await;
    put(&cluster.log, "w1", &start_order("w1", 0, 1));
    sleep(Duration::from_millis(700)).await;
    agent.detach_all();
    // Calls in progress go on in the test; what a killed agent would record must not count.
    log.set_fault(Fault::RefusesAppends);
    worker.set_behavior(Behavior::Healthy);
    let next = Cluster::agent(cluster.log.client());
    next.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(3)).await;
    let keys = cluster.log.keys(Stream::Main);
    let is_returned = keys.iter().any(|key| key.starts_with("n/"));
    let is_started = !worker.started_runs().is_empty();
    assert!(!(is_returned && is_started), "a returned run was started");
}

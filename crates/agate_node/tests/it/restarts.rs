//! Planned restarts of agents.

use std::time::Duration;

use agate_jobs::lease;
use agate_node::agent::WorkerRegistry;
use tokio::time::sleep;

use crate::stops::stop;
use crate::support::{
    Behavior, Caller as _, Cluster, FakeWorker, Fault, MAX_LEASE, one_task_job, wait_until,
};

/// Longest time from the exit of an agent to the first heartbeat that the next one receives.
const LONGEST_DOWNTIME: Duration = Duration::from_secs(5);

/// A restart must not cost the runs, however soon the next agent starts.
#[rstest::rstest]
#[case::at_once(Duration::ZERO)]
#[case::soon(Duration::from_millis(300))]
#[case::late(Duration::from_secs(3))]
#[tokio::test(start_paused = true)]
async fn a_restarted_agent_keeps_its_runs_and_gets_orders_again(#[case] pause: Duration) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    stop(agent).await;
    sleep(pause).await;
    let next = Cluster::agent(cluster.log.client());
    next.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(2)).await;
    entry.submit_job(2, one_task_job()).await;
    wait_until("the next job runs", || worker.running() == 2).await;
    sleep(Duration::from_secs(15)).await;
    assert_eq!(worker.running(), 2);
    assert_eq!(worker.started_runs().len(), 2, "nothing was started again");
}

/// Without a fresh read of its orders the agent could only renew a shorter lease, and a restart that
/// took a little longer would cost the runs.
#[tokio::test(start_paused = true)]
async fn the_last_lease_is_renewed_up_to_the_limit() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    stop(agent).await;
    sleep(lease::duration(MAX_LEASE).mul_f64(0.97)).await;
    assert_eq!(worker.running(), 1);
}

/// Stops the agent beside `worker`, starts another one after `pause`, and checks that the runs last.
async fn restart_agent(cluster: &Cluster, agent: WorkerRegistry, name: &str, pause: Duration) {
    stop(agent).await;
    sleep(pause).await;
    let next = Cluster::agent(cluster.log.client());
    next.apply_heartbeat(FakeWorker::heartbeat(name, name, 1));
    sleep(Duration::from_secs(15)).await;
    drop(next);
}

/// The runs of an agent that is restarted must last as long as docs/operate/stop.md says.
#[tokio::test(start_paused = true)]
async fn a_restart_of_the_longest_allowed_downtime_keeps_the_runs() {
    for lease_limit in [6, 10].map(Duration::from_secs) {
        assert_eq!(lease::duration(lease_limit), lease::MAX_LEASE);
    }
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    restart_agent(&cluster, agent, "w1", LONGEST_DOWNTIME).await;
    assert_eq!(worker.running(), 1);
    assert_eq!(worker.started_runs().len(), 1, "nothing was started again");
}

/// The agent that is removed is suspected while the other one is restarted; only its runs may be lost.
#[tokio::test(start_paused = true)]
async fn a_restart_keeps_the_runs_while_another_agent_is_removed() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (kept, restarted) = cluster.worker("w1");
    kept.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || kept.running() == 1).await;
    let (left, removed) = cluster.worker("w2");
    left.keep_tasks_running();
    sleep(Duration::from_millis(500)).await;
    let restart = restart_agent(&cluster, restarted, "w1", Duration::from_secs(3));
    tokio::join!(restart, stop(removed));
    assert_eq!(kept.running(), 1);
    assert_eq!(kept.started_runs().len(), 1, "nothing was started again");
}

/// The log answers nothing while the agent stops, so that its stop is never reported.
#[tokio::test(start_paused = true)]
async fn a_restart_keeps_the_runs_although_the_log_is_silent_during_the_stop() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.keep_tasks_running();
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    sleep(Duration::from_secs(1)).await;
    log.set_fault(Fault::AnswersNothing);
    restart_agent(&cluster, agent, "w1", Duration::from_millis(500)).await;
    assert_eq!(worker.running(), 1);
    assert_eq!(worker.started_runs().len(), 1, "nothing was started again");
}

/// The agent waits for the lapse of a silent worker after it has reported for the others that it has
/// stopped. Their suspicion counts meanwhile, so that a successor has less time than after other stops.
#[tokio::test(start_paused = true)]
async fn a_restarted_agent_keeps_the_runs_beside_a_silent_worker() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    let silent = FakeWorker::open("w2");
    agent.apply_heartbeat(FakeWorker::heartbeat("w2", "w2", 1));
    sleep(Duration::from_secs(2)).await;
    silent.set_behavior(Behavior::Silent);
    sleep(Duration::from_millis(1_500)).await;
    stop(agent).await;
    sleep(Duration::from_secs(3)).await;
    let next = Cluster::agent(cluster.log.client());
    next.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(15)).await;
    assert_eq!(worker.running(), 1);
    assert_eq!(worker.started_runs().len(), 1, "nothing was started again");
}

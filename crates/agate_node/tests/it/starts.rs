//! When a job counts as started.

use std::time::Duration;

use agate_jobs::JobState;
use agate_node::entry::Answer;
use agate_node::store::Stream;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::support::{Behavior, Caller as _, Cluster, FakeWorker, one_task_job, wait_until};

/// Time within which a start is visible to callers.
const VISIBLE_TIME: Duration = Duration::from_millis(1_200);

const QUEUED: Answer = Answer::State(JobState::Queued);
const RUNNING: Answer = Answer::State(JobState::Running);

fn start_agent(cluster: &Cluster) -> agate_node::agent::WorkerRegistry {
    let agent = Cluster::agent(cluster.log.client());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    agent
}

/// A job counted as started from the binding of its tasks on. All of them were bound to a worker
/// whose agent had just been stopped, and the job was missing from the count of pending ones for
/// 7 s (kehilla-seats, agents-leave 6, MIXED).
#[tokio::test(start_paused = true)]
async fn a_job_is_pending_until_an_agent_has_carried_out_its_order() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    sleep(Duration::from_secs(2)).await;
    agent.detach_all();
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(cluster.log.order_appends(), 1, "the task is bound");
    assert!(worker.started_runs().is_empty());
    assert_eq!(entry.query_state(1).await, QUEUED);
    assert_eq!(entry.count_pending(), Answer::Pending(1));
    let _successor = start_agent(&cluster);
    wait_until("it runs", || worker.running() == 1).await;
    sleep(VISIBLE_TIME).await;
    assert_eq!(entry.query_state(1).await, RUNNING);
    assert_eq!(entry.count_pending(), Answer::Pending(0));
}

/// A worker that starts nothing rejects or ignores each order.
#[tokio::test(start_paused = true)]
async fn a_job_that_no_worker_starts_stays_pending() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.set_behavior(Behavior::IgnoresStarts);
    entry.submit_job(1, one_task_job()).await;
    wait_until("starts are sent", || worker.start_attempts() > 1).await;
    for _ in 0..50 {
        assert_eq!(entry.count_pending(), Answer::Pending(1));
        sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_counts_once_the_run_is_listed() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    worker.set_behavior(Behavior::LosesStartReplies);
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    sleep(VISIBLE_TIME).await;
    assert_eq!(entry.query_state(1).await, RUNNING);
}

/// The successor reads in the worker's list that the run has started.
#[tokio::test(start_paused = true)]
async fn a_start_counts_when_its_agent_stops_before_the_report() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    agent.detach_all();
    sleep(Duration::from_millis(300)).await;
    assert_eq!(entry.query_state(1).await, QUEUED);
    let _successor = start_agent(&cluster);
    entry.wait_for_answer(1, RUNNING).await;
    assert_eq!(worker.started_runs().len(), 1);
}

/// An entry that has loaded the table holds only the newest heartbeat and reports, which no longer
/// list the start.
#[tokio::test(start_paused = true)]
async fn a_start_counts_after_the_restart_of_all_entries() {
    let cluster = Cluster::new();
    let stop = CancellationToken::new();
    let entry = cluster.stoppable_entry("e1", &stop).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    entry.wait_for_answer(1, RUNNING).await;
    sleep(Duration::from_secs(3)).await;
    stop.cancel();
    cluster.log.compact(Stream::Main);
    let entry = cluster.entry("e2", cluster.log.client()).await;
    entry.wait_for_answer(1, RUNNING).await;
    assert_eq!(entry.count_pending(), Answer::Pending(0));
    assert_eq!(worker.started_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_start_counts_after_a_change_of_the_leader() {
    let cluster = Cluster::new();
    let stop = CancellationToken::new();
    let first = cluster.stoppable_entry("e1", &stop).await;
    let second = cluster.entry("e2", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    first.submit_job(1, one_task_job()).await;
    first.wait_for_answer(1, RUNNING).await;
    stop.cancel();
    for _ in 0..50 {
        assert_eq!(second.query_state(1).await, RUNNING);
        sleep(Duration::from_millis(100)).await;
    }
}

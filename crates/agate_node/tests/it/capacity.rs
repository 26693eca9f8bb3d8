//! Workers whose capacity changes while they run.

use std::time::Duration;

use agate_core::Resources;
use agate_jobs::record::Body;
use agate_jobs::{JobState, Order, Record};
use agate_node::agent::{Heartbeat, WorkerRegistry};
use agate_node::entry::Answer;
use agate_node::store::Stream;
use tokio::time::sleep;

use crate::orders::{put, start_order};
use crate::support::{Caller as _, Cluster, FakeWorker, job_id, one_task_job, wait_until};

fn resize(agent: &WorkerRegistry, cores: u32, sequence: u64) {
    agent.apply_heartbeat(Heartbeat {
        capacity: Resources::new(cores * 1_000, 1_000, 0),
        sequence,
        ..FakeWorker::heartbeat("w1", "w1", 1)
    });
}

/// Returns an order to start the task of a job on worker `w1`.
fn order_of(job: u64) -> Record {
    let Some(Body::Order(order)) = start_order("w1", 0, 1).body else {
        panic!("not an order");
    };
    let mut task = order.task;
    task.job = job_id(job);
    Record::new(Body::Order(Order { task, ..order }))
}

/// Orders that were bound before a worker shrank were started on it afterwards.
#[tokio::test(start_paused = true)]
async fn orders_beyond_the_current_capacity_are_returned() {
    let cluster = Cluster::new();
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    sleep(Duration::from_secs(1)).await;
    put(&cluster.log, "w1", &order_of(1));
    wait_until("the first runs", || worker.running() == 1).await;
    resize(&agent, 2, 2);
    for job in 2..=4 {
        put(&cluster.log, "w1", &order_of(job));
    }
    let returned = || {
        let keys = cluster.log.keys(Stream::Main);
        keys.iter().filter(|key| key.starts_with("n/")).count()
    };
    wait_until("the rest is returned", || returned() == 2).await;
    assert_eq!(worker.running(), 2);
}

#[tokio::test(start_paused = true)]
async fn a_job_waits_until_its_worker_has_grown_again() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    resize(&agent, 0, 2);
    sleep(Duration::from_secs(1)).await;
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(3)).await;
    assert!(worker.started_runs().is_empty());
    resize(&agent, 4, 3);
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
}

//! Tasks that crash the workers that start them.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::{JobState, TaskKey};
use agate_node::agent::WorkerRegistry;
use agate_node::entry::Answer;
use tokio::time::sleep;

use crate::support::{Caller as _, Cluster, FakeWorker, job_id, one_task_job, wait_until};

/// Time for which a crashed worker is away.
const OUTAGE: Duration = Duration::from_secs(3);

/// Number of starts of a task that are too many: three more after three workers have crashed.
const STARTS_TOO_MANY: usize = 6;

/// A worker that comes back under a new name after each crash, with its agent.
struct Machine {
    worker: FakeWorker,
    agent: Arc<WorkerRegistry>,
}

impl Machine {
    fn new(cluster: &Cluster, address: &'static str) -> Self {
        let (worker, agent) = cluster.worker(address);
        let agent = Arc::new(agent);
        let machine = Self { worker, agent };
        machine.recover_after_crashes(address);
        machine
    }

    fn recover_after_crashes(&self, address: &'static str) {
        let (worker, agent) = (self.worker.clone(), Arc::clone(&self.agent));
        tokio::spawn(async move {
            let mut incarnation = 1;
            loop {
                wait_for_crash(&worker).await;
                sleep(OUTAGE).await;
                incarnation += 1;
                worker.recover();
                let name = format!("{address}-{incarnation}");
                agent.apply_heartbeat(FakeWorker::heartbeat(&name, address, incarnation));
            }
        });
    }
}

async fn wait_for_crash(worker: &FakeWorker) {
    while !worker.is_down() {
        sleep(Duration::from_millis(10)).await;
    }
}

fn starts_of(machines: &[Machine], task: TaskKey) -> usize {
    let runs = machines.iter().flat_map(|m| m.worker.started_runs());
    runs.filter(|(started, _)| *started == task).count()
}

fn first_task(job: u64) -> TaskKey {
    TaskKey {
        job: job_id(job),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn machines(cluster: &Cluster, addresses: &[&'static str]) -> Vec<Machine> {
    let machines = addresses.iter().map(|at| Machine::new(cluster, at));
    machines.collect()
}

/// Each run ended as lost, which no limit counted, so the task crashed worker after worker.
#[tokio::test(start_paused = true)]
async fn a_task_that_crashes_its_workers_is_given_up() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let machines = machines(&cluster, &["w1", "w2", "w3"]);
    for machine in &machines {
        machine.worker.crash_under(job_id(1));
    }
    entry.submit_job(1, one_task_job()).await;
    wait_until("a worker crashes", || {
        machines.iter().any(|m| m.worker.crashes() > 0)
    })
    .await;
    sleep(Duration::from_mins(1)).await;
    let starts = starts_of(&machines, first_task(1));
    assert!(starts < STARTS_TOO_MANY, "{starts} starts");
    assert_eq!(entry.query_state(1).await, Answer::State(JobState::Failed));
    entry.submit_job(2, one_task_job()).await;
    entry
        .wait_for_answer(2, Answer::State(JobState::Completed))
        .await;
}

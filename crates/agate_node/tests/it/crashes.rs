//! Tasks that crash the workers that start them.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::crash::Crash;
use agate_jobs::record::Body;
use agate_jobs::{JobState, Record, TaskKey};
use agate_node::agent::WorkerRegistry;
use agate_node::entry::Answer;
use agate_node::store::Stream;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::support::{
    Behavior, Caller as _, Cluster, FakeWorker, job_id, one_task_job, wait_until,
};

/// Time for which a crashed worker is away.
const OUTAGE: Duration = Duration::from_secs(3);

/// Time within which a worker's agent notices that connections break. Its next call follows later.
const BREAK: Duration = Duration::from_millis(50);

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

/// Sound tasks that were started together with a deadly one were started together again, and were given
/// up with it.
#[tokio::test(start_paused = true)]
async fn sound_tasks_beside_one_that_crashes_its_worker_finish() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let machines = machines(&cluster, &["w1", "w2"]);
    for machine in &machines {
        machine.worker.crash_under(job_id(1));
    }
    for job in 1..=8 {
        entry.submit_job(job, one_task_job()).await;
    }
    for job in 2..=8 {
        entry
            .wait_for_answer(job, Answer::State(JobState::Completed))
            .await;
    }
    entry
        .wait_for_answer(1, Answer::State(JobState::Failed))
        .await;
}

/// A new leader must count the crashes that its predecessor has read.
#[tokio::test(start_paused = true)]
async fn crashes_count_across_takeovers() {
    let cluster = Cluster::new();
    let stop = CancellationToken::new();
    let first = cluster.stoppable_entry("e1", &stop).await;
    let machines = machines(&cluster, &["w1"]);
    machines[0].worker.crash_under(job_id(1));
    first.submit_job(1, one_task_job()).await;
    wait_until("it crashes", || machines[0].worker.crashes() == 1).await;
    let second = cluster.entry("e2", cluster.log.client()).await;
    stop.cancel();
    second
        .wait_for_answer(1, Answer::State(JobState::Failed))
        .await;
    assert!(starts_of(&machines, first_task(1)) < STARTS_TOO_MANY);
}

/// A worker that keeps its name knows nothing of its earlier incarnation.
#[tokio::test(start_paused = true)]
async fn crashes_count_for_a_worker_that_keeps_its_name() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.crash_under(job_id(1));
    entry.submit_job(1, one_task_job()).await;
    for incarnation in 2..=3 {
        wait_for_crash(&worker).await;
        sleep(OUTAGE).await;
        worker.recover();
        agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", incarnation));
    }
    entry
        .wait_for_answer(1, Answer::State(JobState::Failed))
        .await;
}

/// An agent that restarts while its worker is down knows nothing of the earlier incarnation.
#[tokio::test(start_paused = true)]
async fn crashes_count_if_the_agent_restarts_during_each_outage() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, mut agent) = cluster.worker("w1");
    worker.crash_under(job_id(1));
    entry.submit_job(1, one_task_job()).await;
    for incarnation in 2..=7 {
        let crash = timeout(OUTAGE * 4, wait_for_crash(&worker)).await;
        if crash.is_err() {
            break;
        }
        agent.detach_all();
        sleep(OUTAGE).await;
        worker.recover();
        agent = Cluster::agent(cluster.log.client());
        let name = format!("w1-{incarnation}");
        agent.apply_heartbeat(FakeWorker::heartbeat(&name, "w1", incarnation));
    }
    assert_eq!(entry.query_state(1).await, Answer::State(JobState::Failed));
    assert!(worker.started_runs().len() < STARTS_TOO_MANY);
}

/// Tasks that run on a machine that keeps crashing were taken for the cause.
#[tokio::test(start_paused = true)]
async fn a_machine_that_crashes_by_itself_condemns_no_task() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let machines = machines(&cluster, &["w1", "w2"]);
    let unstable = machines[0].worker.clone();
    tokio::spawn(async move {
        loop {
            sleep(Duration::from_millis(1_700)).await;
            if !unstable.is_down() {
                unstable.crash();
            }
        }
    });
    for job in 1..=20 {
        entry.submit_job(job, one_task_job()).await;
        sleep(Duration::from_millis(400)).await;
    }
    for job in 1..=20 {
        entry
            .wait_for_answer(job, Answer::State(JobState::Completed))
            .await;
    }
}

/// Tasks were bound to a crashed worker until it came back, and each start was attempted for 0.7 s.
#[tokio::test(start_paused = true)]
async fn a_crashed_worker_gets_no_tasks() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (down, _agent) = cluster.worker("w1");
    let (other, _other_agent) = cluster.worker("w2");
    sleep(Duration::from_secs(2)).await;
    down.crash();
    sleep(Duration::from_secs(1)).await;
    let attempts = down.start_attempts();
    for job in 1..=3 {
        entry.submit_job(job, one_task_job()).await;
    }
    wait_until("they run", || other.running() == 3).await;
    assert_eq!(down.start_attempts(), attempts);
}

/// Work since the start of a run was lost although the worker had listed a checkpoint.
#[tokio::test(start_paused = true)]
async fn a_crashed_run_continues_from_the_checkpoint_listed_last() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let machines = machines(&cluster, &["w1"]);
    let worker = &machines[0].worker;
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    sleep(Duration::from_secs(1)).await;
    worker.crash();
    wait_until("it runs again", || worker.running() == 1).await;
    assert_eq!(worker.checkpoint_of(first_task(1)), "half");
}

/// An agent followed the orders of every worker that had ever crashed at its address, and reported each
/// as gone again after every further crash.
#[tokio::test(start_paused = true)]
async fn an_agent_forgets_a_crashed_worker_once_its_departure_is_recorded() {
    let cluster = Cluster::new();
    let _entry = cluster.entry("e1", cluster.log.client()).await;
    let (_worker, agent) = cluster.worker("w1");
    for incarnation in 2..=20 {
        sleep(Duration::from_secs(2)).await;
        let name = format!("w1-{incarnation}");
        agent.apply_heartbeat(FakeWorker::heartbeat(&name, "w1", incarnation));
    }
    assert!(
        agent.worker_count() <= 2,
        "{} workers",
        agent.worker_count()
    );
    agent.apply_heartbeat(FakeWorker::heartbeat("w1-3", "w1", 3));
    assert!(agent.worker_count() <= 2, "a delayed heartbeat counts");
}

/// Returns the recorded crashes under the runs of a task.
fn recorded_crashes(cluster: &Cluster, task: TaskKey) -> Vec<Crash> {
    let keys = cluster.log.keys(Stream::Main).into_iter();
    let records = keys.zip(cluster.log.values(Stream::Main));
    let crash_of = |(key, value): (String, Vec<u8>)| match Record::parse(key, &value).ok()?.body {
        Some(Body::Ended(end)) if end.task == task => end.crash,
        _ => None,
    };
    records.filter_map(crash_of).collect()
}

/// Waits until the worker has just answered its agent: nothing is started once it has been silent for 0.7 s.
async fn wait_for_list(worker: &FakeWorker) {
    let lists = worker.listed();
    wait_until("it answers", || worker.listed() > lists).await;
}

/// Breaks the connection of the call in progress, and behaves differently from then on.
async fn break_call(worker: &FakeWorker, next: Behavior) {
    worker.set_behavior(Behavior::Unreachable);
    sleep(BREAK).await;
    worker.set_behavior(next);
}

async fn replace_after_crash(worker: &FakeWorker, agent: &WorkerRegistry) {
    sleep(OUTAGE).await;
    worker.recover();
    agent.apply_heartbeat(FakeWorker::heartbeat("w1-2", "w1", 2));
    sleep(Duration::from_millis(500)).await;
}

/// The start had been sent after a call had failed, but the worker was only silent, and executed it: the
/// crash was not counted, and the task was started once more than allowed.
#[tokio::test(start_paused = true)]
async fn a_crash_under_a_start_after_a_failed_call_counts() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.crash_under(job_id(1));
    sleep(Duration::from_secs(2)).await;
    wait_for_list(&worker).await;
    sleep(BREAK).await;
    break_call(&worker, Behavior::LosesReplies).await;
    entry.submit_job(1, one_task_job()).await;
    wait_until("it crashes", || worker.crashes() == 1).await;
    replace_after_crash(&worker, &agent).await;
    let crashes = recorded_crashes(&cluster, first_task(1));
    let [crash, ..] = crashes.as_slice() else {
        panic!("the crash is not recorded");
    };
    assert!(crash.peers > 0, "the worker may have been down before");
    assert!(crash.within_ms > 1_000, "nor is it known when it crashed");
}

/// The first start without an answer would no longer count as a lone one, so that a task that crashes its
/// workers would be given up later.
#[tokio::test(start_paused = true)]
async fn starts_after_a_failed_call_do_not_change_what_the_first_one_proves() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(Duration::from_secs(2)).await;
    wait_for_list(&worker).await;
    sleep(BREAK).await;
    worker.set_behavior(Behavior::Silent);
    entry.submit_job(1, one_task_job()).await;
    wait_until("it is sent", || worker.start_attempts() == 1).await;
    break_call(&worker, Behavior::Silent).await;
    entry.submit_job(2, one_task_job()).await;
    wait_until("both are sent", || worker.start_attempts() == 2).await;
    worker.crash();
    replace_after_crash(&worker, &agent).await;
    let peers = |job| {
        let crashes = recorded_crashes(&cluster, first_task(job));
        crashes.iter().map(|crash| crash.peers).collect::<Vec<_>>()
    };
    assert_eq!((peers(1), peers(2)), (vec![0], vec![1]));
}

/// A start that was refused by the network would count as the cause of the crash before it.
#[tokio::test(start_paused = true)]
async fn a_start_that_was_not_sent_is_not_blamed() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(Duration::from_secs(2)).await;
    entry.submit_job(1, one_task_job()).await;
    worker.crash();
    wait_until("it is attempted", || worker.start_attempts() > 0).await;
    replace_after_crash(&worker, &agent).await;
    assert_eq!(recorded_crashes(&cluster, first_task(1)), []);
}

/// A start on a worker that did not answer was sent again and again, and could crash it as it woke up.
#[tokio::test(start_paused = true)]
async fn a_start_is_held_back_until_the_worker_answers() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(2)).await;
    entry.submit_job(1, one_task_job()).await;
    worker.set_behavior(Behavior::Unreachable);
    sleep(Duration::from_millis(900)).await;
    let attempts = worker.start_attempts();
    assert!(attempts <= 2, "{attempts} attempts");
    worker.set_behavior(Behavior::Healthy);
    sleep(Duration::from_millis(400)).await;
    assert_eq!(worker.running(), 1);
}

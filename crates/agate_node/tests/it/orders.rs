//! Orders that an agent does not execute, and terms that leader and agent disagree on.

use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{JobState, Order, OrderKind, Record, SuspicionRecord, TaskKey, WorkerIncarnation};
use agate_node::entry::Answer;
use agate_node::store::{ORDER_STREAMS, Stream, order_stream};
use tokio::time::sleep;

use crate::diagnosis::{capture_logs, lines_with};
use crate::support::{
    Caller as _, Cluster, FakeLog, FakeWorker, Fault, MAX_REPLACE_TIME, job_id, one_task_job,
    wait_until,
};

/// Run time of [`one_task_job`].
const TASK_TIME: Duration = Duration::from_secs(1);

/// Returns an order to start the task of [`one_task_job`] on the first incarnation of a worker.
pub(crate) fn start_order(worker: &str, term: u32, run: u32) -> Record {
    let step = &one_task_job().steps[0];
    Record::new(Body::Order(Order {
        incarnation: WorkerIncarnation {
            name: worker.to_owned(),
            started_ms: 1,
            term,
        },
        task: TaskKey {
            job: job_id(1),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run,
        kind: OrderKind::Start {
            payload: "payload".to_owned(),
            checkpoint: String::new(),
            demand: step.demand,
            ticket: String::new(),
            best_effort: false,
            checkpoints: false,
            image: String::new(),
            target_ms: 0,
            estimate_ms: step.estimate_ms,
            interference: Vec::new(),
            first: false,
        },
    }))
}

pub(crate) fn put(log: &FakeLog, worker: &str, record: &Record) {
    let value = record.value().expect("the record can be written");
    log.put(order_stream(worker, ORDER_STREAMS), &record.key, &value);
}

fn raise_term(log: &FakeLog, worker: &str) {
    let raised = SuspicionRecord {
        incarnation: WorkerIncarnation {
            name: worker.to_owned(),
            started_ms: 1,
            term: 1,
        },
        number: 1,
        suspected: false,
    };
    put(log, worker, &Record::new(Body::Suspicion(raised)));
}

/// A leader that had lowered a worker's term bound tasks that its agent skipped without a line for
/// the rest of the day (kra-pricing, late-everything 7919, LOST).
#[tokio::test(start_paused = true)]
async fn an_order_of_an_earlier_term_is_settled_by_the_agent() {
    let cluster = Cluster::new();
    let (worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    raise_term(&cluster.log, "w1");
    put(&cluster.log, "w1", &start_order("w1", 0, 7));
    let settled = |cluster: &Cluster| {
        let keys = cluster.log.keys(Stream::Main);
        keys.iter().filter(|key| key.starts_with("x/")).count()
    };
    sleep(Duration::from_secs(2)).await;
    assert_eq!(settled(&cluster), 0, "the leader may still drop it");
    sleep(Duration::from_secs(3)).await;
    assert_eq!(settled(&cluster), 1);
    sleep(Duration::from_secs(10)).await;
    assert_eq!(settled(&cluster), 1, "settled again");
    assert!(worker.started_runs().is_empty());
}

/// The term is raised on record before the first order of it, and an agent may read the newest
/// record of each key in any order.
#[tokio::test(start_paused = true)]
async fn an_order_of_a_later_term_is_executed() {
    let cluster = Cluster::new();
    let (worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    put(&cluster.log, "w1", &start_order("w1", 1, 7));
    wait_until("it runs", || worker.running() == 1).await;
}

/// An agent's report of a higher term than the leader's own view was ignored, and the worker got
/// no tasks any more.
#[tokio::test(start_paused = true)]
async fn a_leader_adopts_the_term_that_an_agent_reports() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    raise_term(&cluster.log, "w1");
    sleep(Duration::from_secs(2)).await;
    entry.submit_job(1, one_task_job()).await;
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(worker.started_runs().len(), 1);
}

/// The leader bound task after task to a worker whose agent reported, but could not read its orders. Each
/// waited there until the lease had lapsed.
#[tokio::test(start_paused = true)]
async fn nothing_is_bound_to_a_worker_whose_agent_cannot_read_its_orders() {
    capture_logs();
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(1)).await;
    log.set_fault(Fault::RefusesOrderReads);
    sleep(Duration::from_secs(3)).await;
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(1)).await;
    let bound = || lines_with(&["event=task_bound", "worker=w1"]).len();
    assert_eq!(bound(), 0);
    log.set_fault(Fault::None);
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!((worker.started_runs().len(), bound()), (1, 1));
}

/// Until the first append to a silent stream had failed, after 0.8 s, tasks were bound to its workers and
/// waited for the log.
#[tokio::test(start_paused = true)]
async fn nothing_is_bound_through_a_stream_that_has_not_answered_for_long() {
    capture_logs();
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    let (_worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    log.set_fault(Fault::SilentTo(order_stream("w1", ORDER_STREAMS)));
    entry.submit_job(1, one_task_job()).await;
    let bound = |worker: &str| lines_with(&["event=task_bound", worker]).len();
    wait_until("the first append is made", || bound("worker=w1") == 1).await;
    sleep(Duration::from_millis(350)).await;
    let mut job = one_task_job();
    job.steps[0].tasks = 4;
    entry.submit_job(2, job).await;
    sleep(Duration::from_millis(200)).await;
    assert_eq!(bound("worker=w1"), 1, "bound before the append has failed");
    let (other, _agent) = cluster.worker("w2");
    wait_until("the others run elsewhere", || {
        other.started_runs().len() == 4
    })
    .await;
    assert_eq!(bound("worker=w1"), 1);
    log.set_fault(Fault::None);
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
}

/// An order waited for as long as the agent reported without being able to read it.
#[tokio::test(start_paused = true)]
async fn an_order_that_its_agent_cannot_read_is_settled() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(2)).await;
    log.set_fault(Fault::RefusesOrderReads);
    // A read that waits for news still answers with them.
    sleep(Duration::from_secs(1)).await;
    entry.submit_job(1, one_task_job()).await;
    let (other, _agent) = cluster.worker("w2");
    let began = tokio::time::Instant::now();
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert!(
        began.elapsed() < MAX_REPLACE_TIME + TASK_TIME,
        "{:?}",
        began.elapsed()
    );
    assert_eq!(
        (worker.started_runs().len(), other.started_runs().len()),
        (0, 1)
    );
}

/// Each append to an order stream wakes every agent that reads it. With 36 streams for 160 workers,
/// an order woke 5.4 agents, a read of the store each.
#[rstest::rstest]
#[case::small(11)]
#[case::grown(54)]
#[case::large(160)]
fn an_order_wakes_few_agents(#[case] workers: u32) {
    const MAX_WOKEN: f64 = 2.0;
    let names: Vec<String> = (0..workers)
        .map(|number| format!("i-{number:08x}"))
        .collect();
    let streams: Vec<Stream> = names
        .iter()
        .map(|name| order_stream(name, ORDER_STREAMS))
        .collect();
    let sharing = |stream: &Stream| streams.iter().filter(|other| *other == stream).count();
    let woken: usize = streams.iter().map(sharing).sum();
    let average = woken as f64 / f64::from(workers);
    assert!(average <= MAX_WOKEN, "{average}");
}

//! Starts that are sent again because they got no answer.

use std::time::Duration;

use agate_jobs::crash::Crash;
use agate_jobs::record::Body;
use agate_jobs::{JobSpec, JobState, Record, TaskKey};
use agate_node::agent::Rejection;
use agate_node::entry::Answer;
use agate_node::store::Stream;
use rstest::rstest;
use tokio::time::sleep;

use crate::support::{
    Behavior, Caller as _, Cluster, FakeWorker, StartOutcome, job_id, one_task_job, wait_until,
};

const SECOND: Duration = Duration::from_secs(1);

/// Time within which a start is sent.
const SEND_TIME: Duration = Duration::from_millis(100);

/// Time for which a start may be sent again.
const WINDOW: Duration = Duration::from_millis(1_500);

/// A start that is carried out after the resend has been answered and before the next list.
const AFTER_RESEND: Duration = Duration::from_millis(270);

const COMPLETED: Answer = Answer::State(JobState::Completed);

fn task(job: u64) -> TaskKey {
    TaskKey {
        job: job_id(job),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

/// Checks that the starts of a run have one deadline. If a later attempt had a later one, a copy could be
/// carried out after the time for which the successor of an agent waits.
fn assert_one_deadline(worker: &FakeWorker) {
    let sent = worker.sent_starts();
    let deadlines: Vec<u64> = sent.iter().map(|start| start.deadline_ms).collect();
    assert!(
        deadlines.windows(2).all(|pair| pair[0] == pair[1]),
        "{deadlines:?}"
    );
}

fn recorded_crashes(cluster: &Cluster, task: TaskKey) -> Vec<Crash> {
    let keys = cluster.log.keys(Stream::Main).into_iter();
    let records = keys.zip(cluster.log.values(Stream::Main));
    let crash_of = |(key, value): (String, Vec<u8>)| match Record::parse(key, &value).ok()?.body {
        Some(Body::Ended(end)) if end.task == task => end.crash,
        _ => None,
    };
    records.filter_map(crash_of).collect()
}

/// A start without an answer was given up, and the task was bound anew 2.7 s later in the median. The late
/// copy is carried out after the end of the run was acknowledged and forgotten.
#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_is_sent_again_and_runs_once() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    worker.set_outcomes([
        StartOutcome::Late(4 * SECOND),
        StartOutcome::Late(3 * SECOND),
    ]);
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_millis(700)).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
    entry.wait_for_answer(1, COMPLETED).await;
    sleep(6 * SECOND).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
    assert_eq!(worker.start_attempts(), 3);
    assert_one_deadline(&worker);
}

/// The run is there, and a list confirms it before the start is sent again.
#[tokio::test(start_paused = true)]
async fn a_start_that_a_list_confirms_is_not_sent_again() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    sleep(2 * SECOND).await;
    worker.set_outcomes([StartOutcome::Late(SEND_TIME)]);
    entry.submit_job(1, one_task_job()).await;
    sleep(3 * SECOND).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
    assert_eq!(worker.start_attempts(), 1);
}

/// A stop would wait until the start is sent no more, and the task of a cancelled job would start.
#[tokio::test(start_paused = true)]
async fn a_stopped_run_is_not_sent_again_and_does_not_start_late() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    sleep(2 * SECOND).await;
    worker.set_outcomes([StartOutcome::Late(9 * SECOND / 10); 6]);
    entry.submit_job(1, one_task_job()).await;
    wait_until("it is sent again", || worker.start_attempts() == 2).await;
    entry.cancel_job(1).await;
    sleep(5 * SECOND).await;
    assert!(worker.started_runs().is_empty());
    assert!(worker.start_attempts() <= 3, "{}", worker.start_attempts());
}

/// The next incarnation has forgotten the end of the run, and its clock starts anew, so it carries out the
/// late copy. The agent had nothing to stop there, as the order was removed with the end.
#[tokio::test(start_paused = true)]
async fn a_late_copy_does_not_start_in_the_next_incarnation() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(3 * SECOND).await;
    worker.set_outcomes([StartOutcome::Late(6 * SECOND)]);
    entry.submit_job(1, one_task_job()).await;
    entry.wait_for_answer(1, COMPLETED).await;
    sleep(2 * SECOND).await;
    worker.restart();
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 2));
    sleep(6 * SECOND).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
}

/// The successor finds the order, and copies that its predecessor sent are still carried out.
#[tokio::test(start_paused = true)]
async fn copies_of_a_restarted_agent_start_one_run() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    worker.set_outcomes([StartOutcome::Late(SECOND), StartOutcome::Late(3 * SECOND)]);
    entry.submit_job(1, one_task_job()).await;
    wait_until("it is sent again", || worker.start_attempts() == 2).await;
    assert_one_deadline(&worker);
    agent.detach_all();
    let successor = Cluster::agent(cluster.log.client());
    successor.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.wait_for_answer(1, COMPLETED).await;
    sleep(5 * SECOND).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
}

/// Such an answer says nothing about the earlier copy. Taken as the end of the run, it stopped the run that
/// the copy had started, and the task was bound anew.
#[rstest]
#[case(Rejection::Late)]
#[case(Rejection::Room)]
#[case(Rejection::Ticket)]
#[case(Rejection::Other)]
#[tokio::test(start_paused = true)]
async fn a_copy_behind_a_rejected_resend_is_adopted(#[case] rejection: Rejection) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    let outcomes = [
        StartOutcome::Late(AFTER_RESEND),
        StartOutcome::Rejected(rejection),
    ];
    worker.set_outcomes(outcomes);
    entry.submit_job(1, one_task_job()).await;
    entry.wait_for_answer(1, COMPLETED).await;
    sleep(3 * SECOND).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
    assert_eq!(worker.start_attempts(), 2);
}

/// The run has started and ended between the attempts: its end is in the lists, not in the answer.
#[tokio::test(start_paused = true)]
async fn an_end_before_a_resend_is_recorded() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    let outcomes = [
        StartOutcome::Late(Duration::from_millis(20)),
        StartOutcome::Rejected(Rejection::Old),
    ];
    worker.set_outcomes(outcomes);
    entry.submit_job(1, one_task_job()).await;
    entry.wait_for_answer(1, COMPLETED).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
}

/// The run was forgotten and its order executed anew, with another deadline, although the first copy might
/// be there.
#[tokio::test(start_paused = true)]
async fn a_resend_that_is_not_sent_does_not_end_the_attempt() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    worker.set_outcomes([StartOutcome::Late(3 * SECOND), StartOutcome::NotSent]);
    entry.submit_job(1, one_task_job()).await;
    sleep(WINDOW).await;
    assert_eq!(worker.started_runs(), [(task(1), 1)]);
    assert_one_deadline(&worker);
}

/// The worker is back under its name before its heartbeat says so, and a resend would crash it again.
#[tokio::test(start_paused = true)]
async fn a_task_that_crashes_its_worker_is_not_sent_to_the_next_incarnation() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.crash_under(job_id(1));
    sleep(2 * SECOND).await;
    entry.submit_job(1, one_task_job()).await;
    wait_until("it crashes", || worker.crashes() == 1).await;
    sleep(Duration::from_millis(20)).await;
    worker.recover();
    sleep(WINDOW).await;
    assert_eq!((worker.start_attempts(), worker.crashes()), (1, 1));
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 2));
    sleep(SECOND / 5).await;
    let crashes = recorded_crashes(&cluster, task(1));
    let peers: Vec<u32> = crashes.iter().map(|crash| crash.peers).collect();
    assert_eq!(peers, [0], "one crash under a lone start");
}

/// A worker that leaves would get a start after its notice.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_again_to_a_worker_that_leaves() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    worker.set_outcomes([StartOutcome::Late(9 * SECOND); 6]);
    entry.submit_job(1, one_task_job()).await;
    wait_until("it is sent", || worker.start_attempts() == 1).await;
    let mut heartbeat = FakeWorker::heartbeat("w1", "w1", 1);
    heartbeat.draining = true;
    agent.apply_heartbeat(heartbeat);
    sleep(3 * SECOND).await;
    assert_eq!(worker.start_attempts(), 1);
}

/// Without an answer to anything, nobody knows which incarnation a resend would reach.
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_again_to_a_silent_worker() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    worker.set_behavior(Behavior::Silent);
    entry.submit_job(1, one_task_job()).await;
    wait_until("it is sent", || worker.start_attempts() == 1).await;
    sleep(3 * SECOND).await;
    assert_eq!(worker.start_attempts(), 1);
}

/// A worker that answers everything but starts got each of them up to six times.
#[tokio::test(start_paused = true)]
async fn a_worker_that_answers_no_start_gets_few_resends() {
    const TASKS: u32 = 40;
    /// The burst, and what is refilled within the window of the starts.
    const MOST_RESENDS: usize = 16 + 20;
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    sleep(2 * SECOND).await;
    worker.set_behavior(Behavior::IgnoresStarts);
    entry.submit_job(1, wide_job(TASKS)).await;
    sleep(2 * SECOND).await;
    let sent = worker.sent_starts();
    let first = sent.iter().filter(|start| start.run == 1).count();
    let tasks = TASKS as usize;
    assert!(first > tasks, "{first} starts of first runs");
    assert!(
        first <= tasks + MOST_RESENDS,
        "{first} starts of first runs"
    );
}

/// Returns a job of many small tasks.
fn wide_job(tasks: u32) -> JobSpec {
    let mut job = one_task_job();
    job.steps[0].tasks = tasks;
    job.steps[0].demand = agate_core::Resources::new(50, 10, 0);
    job
}

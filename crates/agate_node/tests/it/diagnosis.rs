//! Checks that log lines lead from a failed request to its cause as `docs/OPERATIONS.md` describes.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use agate_jobs::JobState;
use agate_node::entry::Answer;
use agate_telemetry::logs::line;
use log::{LevelFilter, Log, Metadata, Record};
use tokio::time::sleep;

use crate::support::{Behavior, Caller as _, Cluster, FakeWorker, Fault, one_task_job, wait_until};

/// Log lines of this test's process.
struct CapturedLines(Mutex<Vec<String>>);

static LINES: CapturedLines = CapturedLines(Mutex::new(Vec::new()));

impl Log for CapturedLines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line(record, "now"));
    }

    fn flush(&self) {}
}

pub(crate) fn capture_logs() {
    // Another test in the same process may have set the logger.
    let _ = log::set_logger(&LINES);
    log::set_max_level(LevelFilter::Info);
}

/// Returns the positions of the lines that contain all `fragments`.
pub(crate) fn lines_with(fragments: &[&str]) -> Vec<usize> {
    let lines = LINES.0.lock().unwrap_or_else(PoisonError::into_inner);
    let holds = |line: &String| fragments.iter().all(|fragment| line.contains(fragment));
    let found = lines.iter().enumerate().filter(|(_, line)| holds(line));
    found.map(|(at, _)| at).collect()
}

/// Returns the position of the first such line.
fn first_line_with(fragments: &[&str]) -> usize {
    let found = lines_with(fragments).first().copied();
    found.unwrap_or_else(|| panic!("no line with {fragments:?}"))
}

#[tokio::test(start_paused = true)]
async fn a_refused_submission_is_traced_to_the_log_outage() {
    capture_logs();
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    log.set_fault(Fault::RefusesAll);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(
        entry.submit_job(0xa1, one_task_job()).await,
        Answer::Refused
    );
    log.set_fault(Fault::None);
    sleep(Duration::from_secs(3)).await;
    let refused = first_line_with(&[
        "event=answered",
        "call=submit",
        "00000000000000a1",
        "outcome=refused",
    ]);
    let lost = first_line_with(&["event=log_lost", "lane=Main", "cause="]);
    let regained = first_line_with(&[
        "event=log_regained",
        "lane=Main",
        "failed_calls=",
        "after_ms=",
    ]);
    assert!(
        lost < refused && refused < regained,
        "{lost} {refused} {regained}"
    );
}

#[tokio::test(start_paused = true)]
async fn a_late_job_is_traced_to_the_unanswered_start() {
    capture_logs();
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.set_behavior(Behavior::IgnoresStarts);
    entry.submit_job(0xa2, one_task_job()).await;
    sleep(Duration::from_secs(2)).await;
    worker.set_behavior(Behavior::Healthy);
    entry
        .wait_for_answer(0xa2, Answer::State(JobState::Completed))
        .await;
    let task = "task=00000000000000a2.0.0.0";
    let accepted = first_line_with(&["event=answered", "job=00000000000000a2", "outcome=accepted"]);
    let bound = first_line_with(&["event=task_bound", task, "run=1", "worker=w1"]);
    let unanswered = first_line_with(&["event=start_answered", task, "run=1", "Unknown"]);
    let stopped = first_line_with(&["event=run_stopped", task, "run=1"]);
    let ended = first_line_with(&["event=run_ended", task, "run=1", "cause=untraced"]);
    let rebound = first_line_with(&["event=task_bound", task, "run=2"]);
    let order = [accepted, bound, unanswered, stopped, ended, rebound];
    assert!(order.is_sorted(), "{order:?}");
}

/// A run whose start isn't answered was bound for the leader, and none of its logs named it.
#[tokio::test(start_paused = true)]
async fn a_run_that_its_agent_has_not_started_is_named_by_the_leader() {
    capture_logs();
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.set_behavior(Behavior::StartsLate);
    entry.submit_job(0xa4, one_task_job()).await;
    sleep(Duration::from_millis(2_500)).await;
    let task = "task=00000000000000a4.0.0.0";
    let bound = first_line_with(&["event=task_bound", task, "run=1"]);
    let named = [
        "event=runs_not_started",
        "runs=1",
        task,
        "run=1",
        "worker=w1",
    ];
    assert!(bound < first_line_with(&named));
}

/// A run whose start got no answer, or that a predecessor has started, would count as one that is not running.
#[tokio::test(start_paused = true)]
async fn a_run_that_goes_on_is_not_named_as_unstarted() {
    capture_logs();
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    worker.set_behavior(Behavior::LosesStartReplies);
    entry.submit_job(0xa5, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    sleep(Duration::from_secs(3)).await;
    agent.detach_all();
    let successor = Cluster::agent(cluster.log.client());
    successor.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(3)).await;
    assert_eq!(worker.started_runs().len(), 1);
    let named = lines_with(&["event=runs_not_started"]);
    assert!(named.is_empty(), "{named:?}");
}

#[tokio::test(start_paused = true)]
async fn a_lost_run_is_traced_to_the_silent_worker() {
    capture_logs();
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(0xa3, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    let (other, _other_agent) = cluster.worker("w2");
    other.keep_tasks_running();
    worker.set_behavior(Behavior::Unreachable);
    wait_until("it runs elsewhere", || other.running() == 1).await;
    let task = "task=00000000000000a3.0.0.0";
    let silent = first_line_with(&["event=worker_lost", "worker=w1/", "cause="]);
    let lapsed = first_line_with(&["event=lease_lapsed", "worker=w1/", "silent_ms="]);
    let suspected = first_line_with(&["event=worker_standing", "worker=w1/1/1"]);
    let lost = first_line_with(&["event=run_lost", task, "run=1", "worker=w1"]);
    let rebound = first_line_with(&["event=task_bound", task, "run=2", "worker=w2"]);
    let order = [silent, lapsed, suspected, lost, rebound];
    assert!(order.is_sorted(), "{order:?}");
}

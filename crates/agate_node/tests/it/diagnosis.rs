//! The way from a failed request to its cause that `docs/OPERATIONS.md` shows, by its lines.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use agate_jobs::JobState;
use agate_node::entry::Answer;
use agate_telemetry::logs::line;
use log::{LevelFilter, Log, Metadata, Record};
use tokio::time::sleep;

use crate::support::{Behavior, Caller as _, Cluster, Fault, one_task, until};

/// The lines of this test's process.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

impl Log for Lines {
    fn enabled(&self, _metadata: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut lines = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        lines.push(line(record, "now"));
    }

    fn flush(&self) {}
}

fn listen() {
    // A second test in the same process finds the logger in place.
    let _ = log::set_logger(&LINES);
    log::set_max_level(LevelFilter::Info);
}

/// Places of the lines that hold every one of `parts`.
fn lines_with(fragments: &[&str]) -> Vec<usize> {
    let lines = LINES.0.lock().unwrap_or_else(PoisonError::into_inner);
    let holds = |line: &String| fragments.iter().all(|fragment| line.contains(fragment));
    let found = lines.iter().enumerate().filter(|(_, line)| holds(line));
    found.map(|(at, _)| at).collect()
}

/// The place of the first such line.
fn first(fragments: &[&str]) -> usize {
    let found = lines_with(fragments).first().copied();
    found.unwrap_or_else(|| panic!("no line with {fragments:?}"))
}

#[tokio::test(start_paused = true)]
async fn a_refused_submission_leads_to_the_loss_of_the_log() {
    listen();
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    log.set_fault(Fault::Refuses);
    sleep(Duration::from_millis(100)).await;
    assert_eq!(entry.submit_job(0xa1, one_task()).await, Answer::Refused);
    log.set_fault(Fault::None);
    sleep(Duration::from_secs(3)).await;
    let refused = first(&[
        "event=answered",
        "call=submit",
        "00000000000000a1",
        "outcome=refused",
    ]);
    let lost = first(&["event=log_lost", "lane=Main", "cause="]);
    let regained = first(&[
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
async fn a_late_job_leads_to_the_start_that_got_no_answer() {
    listen();
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.set_behavior(Behavior::IgnoresStarts);
    entry.submit_job(0xa2, one_task()).await;
    sleep(Duration::from_secs(2)).await;
    worker.set_behavior(Behavior::Healthy);
    entry
        .wait_for_answer(0xa2, Answer::State(JobState::Completed))
        .await;
    let task = "task=00000000000000a2.0.0.0";
    let accepted = first(&["event=answered", "job=00000000000000a2", "outcome=accepted"]);
    let bound = first(&["event=task_bound", task, "run=1", "worker=w1"]);
    let unanswered = first(&["event=start_answered", task, "run=1", "Unknown"]);
    let stopped = first(&["event=run_stopped", task, "run=1"]);
    let ended = first(&["event=run_ended", task, "run=1", "cause=untraced"]);
    let again = first(&["event=task_bound", task, "run=2"]);
    let order = [accepted, bound, unanswered, stopped, ended, again];
    assert!(order.is_sorted(), "{order:?}");
}

#[tokio::test(start_paused = true)]
async fn a_run_that_was_lost_leads_to_the_worker_that_did_not_answer() {
    listen();
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.run_until_stopped();
    entry.submit_job(0xa3, one_task()).await;
    until("it runs", || worker.running() == 1).await;
    let (other, _other_agent) = cluster.worker("w2");
    other.run_until_stopped();
    worker.set_behavior(Behavior::Unreachable);
    until("it runs elsewhere", || other.running() == 1).await;
    let task = "task=00000000000000a3.0.0.0";
    let silent = first(&["event=worker_lost", "worker=w1/", "cause="]);
    let lapsed = first(&["event=lease_lapsed", "worker=w1/", "silent_ms="]);
    let standing = first(&["event=worker_standing", "worker=w1/1/1"]);
    let lost = first(&["event=run_lost", task, "run=1", "worker=w1"]);
    let again = first(&["event=task_bound", task, "run=2", "worker=w2"]);
    let order = [silent, lapsed, standing, lost, again];
    assert!(order.is_sorted(), "{order:?}");
}

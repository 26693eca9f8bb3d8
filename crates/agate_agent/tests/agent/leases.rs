//! Runs whose lease lapses, whose incarnation is lost or whose worker goes silent.

use std::time::Duration;

use agate_core::clock::boot_time;
use agate_wire::message::{RunAction, RunResult, StartReply, Verdict};
use standin_worker::{Fault, TaskStatus};

use crate::support::{LONG, OnWorker, SHORT, is_refused, until};

#[tokio::test]
async fn lapsed_lease_pauses_the_run_and_a_renewal_lets_it_go_on() {
    let on = OnWorker::set_up_with(|state| state.lease = Duration::from_millis(500)).await;
    let run = on.run(0, 1, r#"{"duration_ms": 1200}"#);
    assert_eq!(on.start(run.clone()).await, StartReply::Started);
    on.entry.state().lease = Duration::ZERO;
    until("a pause", || on.status(&run) == Some(TaskStatus::Paused)).await;
    assert!(on.entry.state().reports.is_empty());

    on.entry.state().lease = Duration::from_millis(500);
    assert_eq!(on.report(run.run).await.result, RunResult::Finished);
    let task = on.task(run.run).expect("the task ran");
    assert!(task.intervals.len() >= 2, "{task:?}");
    assert_eq!(task.progress_us, 1_200_000);
}

#[tokio::test]
async fn lost_incarnation_stops_its_runs_and_starts_no_more() {
    let on = OnWorker::set_up().await;
    let run = on.run(0, 1, LONG);
    on.start(run.clone()).await;
    let lost = on.agent.incarnation();
    on.entry.judge(lost, Verdict::Lost);
    until("a stop", || on.status(&run) == Some(TaskStatus::Stopped)).await;
    until("a new incarnation", || on.agent.incarnation() != lost).await;
    assert_eq!(on.start(run.clone()).await, StartReply::Gone);
    let mut late = on.run(1, 1, LONG);
    late.incarnation = lost;
    assert_eq!(on.start(late).await, StartReply::Gone);
    assert!(on.entry.state().reports.is_empty());
    assert_eq!(on.start(on.run(2, 1, LONG)).await, StartReply::Started);
}

#[tokio::test]
async fn run_on_a_worker_that_vanishes_in_a_checkpoint_ends_once_its_lease_has_lapsed() {
    let on = OnWorker::set_up_with(|state| state.lease = Duration::from_secs(3)).await;
    let run = on.run(0, 1, LONG);
    on.start(run.clone()).await;
    on.worker.set_fault(Fault::VanishInCheckpoint);
    on.take_step(run.run, RunAction::Evict).await;
    assert_eq!(on.report(run.run).await.result, RunResult::Stopped);
    let reported = u64::try_from(boot_time().as_micros()).expect("a time that fits");
    let task = on.task(run.run).expect("it ran");
    assert_eq!(task.status, TaskStatus::Paused);
    let ended = task.intervals.iter().map(|interval| interval.end_us);
    let ended: Option<Vec<u64>> = ended.collect();
    let ended = ended.expect("every interval has ended");
    assert!(ended.iter().all(|end| *end < reported));

    // The worker comes back: the run never goes on, and nothing else starts before it is stopped.
    on.worker.set_fault(Fault::None);
    until("a stop", || on.status(&run) == Some(TaskStatus::Stopped)).await;
    let after = on.task(run.run).expect("it ran");
    assert_eq!(after.intervals.len(), ended.len());
}

#[tokio::test]
async fn run_that_starts_under_a_lapsed_lease_starts_paused() {
    let on = OnWorker::set_up_with(|state| state.lease = Duration::ZERO).await;
    let run = on.run(0, 1, SHORT);
    assert_eq!(on.start(run.clone()).await, StartReply::Started);
    let task = on.task(run.run).expect("the worker knows it");
    assert_eq!((task.status, task.intervals.len()), (TaskStatus::Paused, 0));

    on.entry.state().lease = Duration::from_mins(1);
    assert_eq!(on.report(run.run).await.result, RunResult::Finished);
}

#[tokio::test]
async fn run_on_a_silent_worker_ends_once_its_lease_has_lapsed_and_never_goes_on() {
    let on = OnWorker::set_up_with(|state| state.lease = Duration::from_secs(4)).await;
    let run = on.run(0, 1, LONG);
    on.start(run.clone()).await;
    let runs = || on.status(&run) == Some(TaskStatus::Running);
    until("progress", runs).await;
    on.worker.set_fault(Fault::Silence);
    // The entry goes on granting leases to the agent.
    assert_eq!(on.report(run.run).await.result, RunResult::Stopped);
    let task = on.task(run.run).expect("it ran");
    assert_eq!(task.status, TaskStatus::Paused);
    assert!(is_refused(&on.start(on.run(1, 1, LONG)).await));

    on.worker.set_fault(Fault::None);
    until("a stop", || on.status(&run) == Some(TaskStatus::Stopped)).await;
    let after = on.task(run.run).expect("it ran");
    assert_eq!(after.intervals.len(), task.intervals.len());
    let next = async {
        let mut index = 2;
        while is_refused(&on.start(on.run(index, 1, LONG)).await) {
            index += 1;
        }
    };
    let next = tokio::time::timeout(crate::support::PATIENCE, next).await;
    assert!(next.is_ok(), "a worker that is clear again takes runs");
}

//! Runs after a lapsed lease, a lost incarnation or loss of contact with the worker.

use std::time::Duration;

use agate_core::clock::boot_time;
use agate_wire::message::{RunAction, RunResult, StartReply, Verdict};
use standin_worker::{Fault, TaskStatus};

use crate::support::{LONG_TASK, SHORT_TASK, WorkerFixture, is_refused, wait_until};

#[tokio::test]
async fn lapsed_lease_pauses_the_run_and_a_renewal_resumes_it() {
    let fixture =
        WorkerFixture::set_up_with(|state| state.lease = Duration::from_millis(500)).await;
    let run = fixture.start_request(0, 1, r#"{"duration_ms": 1200}"#);
    assert_eq!(fixture.start(run.clone()).await, StartReply::Started);
    fixture.entry.state().lease = Duration::ZERO;
    wait_until("a pause", || {
        fixture.task_status(&run) == Some(TaskStatus::Paused)
    })
    .await;
    assert!(fixture.entry.state().reports.is_empty());

    fixture.entry.state().lease = Duration::from_millis(500);
    assert_eq!(
        fixture.wait_for_report(run.run).await.result,
        RunResult::Finished
    );
    let task = fixture.task(run.run).expect("the task ran");
    assert!(task.intervals.len() >= 2, "{task:?}");
    assert_eq!(task.progress_us, 1_200_000);
}

#[tokio::test]
async fn lost_incarnation_stops_its_runs_and_starts_no_new_ones() {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, LONG_TASK);
    fixture.start(run.clone()).await;
    let lost = fixture.agent.incarnation();
    fixture.entry.set_verdict(lost, Verdict::Lost);
    wait_until("a stop", || {
        fixture.task_status(&run) == Some(TaskStatus::Stopped)
    })
    .await;
    wait_until("a new incarnation", || fixture.agent.incarnation() != lost).await;
    assert_eq!(fixture.start(run.clone()).await, StartReply::Gone);
    let mut late = fixture.start_request(1, 1, LONG_TASK);
    late.incarnation = lost;
    assert_eq!(fixture.start(late).await, StartReply::Gone);
    assert!(fixture.entry.state().reports.is_empty());
    assert_eq!(
        fixture.start(fixture.start_request(2, 1, LONG_TASK)).await,
        StartReply::Started
    );
}

#[tokio::test]
async fn run_ends_after_its_lease_lapses_if_the_worker_vanishes_in_a_checkpoint() {
    let fixture = WorkerFixture::set_up_with(|state| state.lease = Duration::from_secs(3)).await;
    let run = fixture.start_request(0, 1, LONG_TASK);
    fixture.start(run.clone()).await;
    fixture.worker.set_fault(Fault::VanishInCheckpoint);
    fixture.send_action(run.run, RunAction::Evict).await;
    assert_eq!(
        fixture.wait_for_report(run.run).await.result,
        RunResult::Stopped
    );
    let reported = u64::try_from(boot_time().as_micros()).expect("the time fits in 64 bits");
    let task = fixture.task(run.run).expect("it ran");
    assert_eq!(task.status, TaskStatus::Paused);
    let ended = task.intervals.iter().map(|interval| interval.end_us);
    let ended: Option<Vec<u64>> = ended.collect();
    let ended = ended.expect("every interval has ended");
    assert!(ended.iter().all(|end| *end < reported));

    // The worker is back: the run never resumes, and no other run starts before it is stopped.
    fixture.worker.set_fault(Fault::None);
    wait_until("a stop", || {
        fixture.task_status(&run) == Some(TaskStatus::Stopped)
    })
    .await;
    let after = fixture.task(run.run).expect("it ran");
    assert_eq!(after.intervals.len(), ended.len());
}

#[tokio::test]
async fn run_started_under_a_lapsed_lease_starts_paused() {
    let fixture = WorkerFixture::set_up_with(|state| state.lease = Duration::ZERO).await;
    let run = fixture.start_request(0, 1, SHORT_TASK);
    assert_eq!(fixture.start(run.clone()).await, StartReply::Started);
    let task = fixture.task(run.run).expect("the worker knows it");
    assert_eq!((task.status, task.intervals.len()), (TaskStatus::Paused, 0));

    fixture.entry.state().lease = Duration::from_mins(1);
    assert_eq!(
        fixture.wait_for_report(run.run).await.result,
        RunResult::Finished
    );
}

#[tokio::test]
async fn run_on_a_silent_worker_ends_after_its_lease_lapses_and_never_resumes() {
    let fixture = WorkerFixture::set_up_with(|state| state.lease = Duration::from_secs(4)).await;
    let run = fixture.start_request(0, 1, LONG_TASK);
    fixture.start(run.clone()).await;
    let runs = || fixture.task_status(&run) == Some(TaskStatus::Running);
    wait_until("progress", runs).await;
    fixture.worker.set_fault(Fault::Silence);
    // The entry keeps renewing the agent's lease.
    assert_eq!(
        fixture.wait_for_report(run.run).await.result,
        RunResult::Stopped
    );
    let task = fixture.task(run.run).expect("it ran");
    assert_eq!(task.status, TaskStatus::Paused);
    assert!(is_refused(
        &fixture.start(fixture.start_request(1, 1, LONG_TASK)).await
    ));

    fixture.worker.set_fault(Fault::None);
    wait_until("a stop", || {
        fixture.task_status(&run) == Some(TaskStatus::Stopped)
    })
    .await;
    let after = fixture.task(run.run).expect("it ran");
    assert_eq!(after.intervals.len(), task.intervals.len());
    let next = async {
        let mut index = 2;
        while is_refused(
            &fixture
                .start(fixture.start_request(index, 1, LONG_TASK))
                .await,
        ) {
            index += 1;
        }
    };
    let next = tokio::time::timeout(crate::support::TEST_TIMEOUT, next).await;
    assert!(next.is_ok(), "a worker that is clear again takes runs");
}

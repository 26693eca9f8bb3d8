//! Start, actions and end of batch runs.

use std::time::Duration;

use agate_core::ids::Offset;
use agate_core::{Position, Resources, Version};
use agate_wire::message::{
    ConfigState, ReportAck, RunAction, RunActionReply, RunResult, Selector, StartReply, StopMode,
    Withdrawal,
};
use agate_wire::rpc::AgentRpcClient;
use rstest::rstest;
use standin_worker::{Fault, TaskStatus};

use crate::support::{LONG_TASK, SHORT_TASK, WorkerFixture, connect_agent, is_refused, wait_until};

#[tokio::test]
async fn run_started_twice_runs_once_and_its_end_is_reported() {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, r#"{"duration_ms": 1500}"#);
    let other = connect_agent(fixture.agent.address()).await;
    let both = tokio::join!(fixture.client.start(run.clone()), other.start(run.clone()));
    assert_eq!(both.0.expect("a reply"), StartReply::Started);
    assert_eq!(both.1.expect("a reply"), StartReply::Started);

    let report = fixture.wait_for_report(run.run).await;
    assert_eq!(report.result, RunResult::Finished);
    assert_eq!(report.peak.memory_mib, 2_048);
    assert_eq!(fixture.start(run.clone()).await, StartReply::Started);
    assert_eq!(fixture.worker.ran().tasks.len(), 1);
    let sampled = |state: &crate::support::EntryState| {
        let mut usage = state.heartbeats.iter().flat_map(|h| &h.usage);
        usage.any(|sample| sample.run == run.run && sample.age_ms >= 50)
    };
    fixture
        .entry
        .wait_until("a lagging usage reading", sampled)
        .await;
}

#[rstest]
#[case::cancel(RunAction::Cancel)]
#[case::evict(RunAction::Evict)]
#[case::throttle(RunAction::Throttle)]
#[tokio::test]
async fn action_before_the_start_prevents_the_run_from_starting(#[case] kind: RunAction) {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, SHORT_TASK);
    assert_eq!(
        fixture.send_action(run.run, kind).await,
        RunActionReply::NotStarted
    );
    assert!(is_refused(&fixture.start(run).await));
    assert_eq!(fixture.worker.ran().tasks.len(), 0);
}

#[tokio::test]
async fn evicted_run_holds_its_resources_until_its_checkpoint_is_recorded() {
    let fixture = WorkerFixture::set_up_with(|state| state.report_ack = ReportAck::Again).await;
    let (evicted, kept) = (
        fixture.start_request(0, 1, LONG_TASK),
        fixture.start_request(1, 1, LONG_TASK),
    );
    for run in [&evicted, &kept] {
        assert_eq!(fixture.start(run.clone()).await, StartReply::Started);
    }
    let reply = fixture.send_action(evicted.run, RunAction::Evict).await;
    assert_eq!(reply, RunActionReply::Accepted);
    fixture.wait_for_report(evicted.run).await;
    assert!(is_refused(
        &fixture.start(fixture.start_request(2, 1, LONG_TASK)).await
    ));

    fixture.entry.state().report_ack = ReportAck::Recorded;
    let freed = |state: &crate::support::EntryState| {
        let last = state.heartbeats.last();
        last.is_some_and(|heartbeat| heartbeat.load.held.memory_mib == 2_048)
    };
    fixture.entry.wait_until("room", freed).await;
    let next = fixture.start(fixture.start_request(3, 1, LONG_TASK)).await;
    assert_eq!(next, StartReply::Started);
    assert!(fixture.worker.ran().peak_memory <= 4_096);
}

/// A task that crashes each worker was reported as stopped, which no limit counts.
#[rstest]
#[case::right_after_the_start(Duration::ZERO, true)]
#[case::long_after_the_start(Duration::from_millis(1_600), false)]
#[tokio::test]
async fn run_that_a_restarted_worker_has_forgotten_counts_as_failed_if_it_was_new(
    #[case] age: Duration,
    #[case] fails: bool,
) {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, LONG_TASK);
    assert_eq!(fixture.start(run.clone()).await, StartReply::Started);
    tokio::time::sleep(age).await;
    fixture.worker.set_fault(Fault::Restarted);
    let result = fixture.wait_for_report(run.run).await.result;
    assert_eq!(
        matches!(result, RunResult::Failed { .. }),
        fails,
        "{result:?}"
    );
    assert_eq!(result == RunResult::Stopped, !fails);
}

#[tokio::test]
async fn evicted_run_resumes_from_its_checkpoint() {
    let fixture = WorkerFixture::set_up().await;
    let first = fixture.start_request(0, 1, r#"{"duration_ms": 600}"#);
    fixture.start(first.clone()).await;
    let worked = || {
        fixture
            .task(first.run)
            .is_some_and(|task| task.progress_us > 0)
    };
    wait_until("some progress", worked).await;
    fixture.send_action(first.run, RunAction::Evict).await;
    let RunResult::Evicted { checkpoint } = fixture.wait_for_report(first.run).await.result else {
        panic!("expected an eviction");
    };
    let mut second = fixture.start_request(0, 2, r#"{"duration_ms": 600}"#);
    second.checkpoint = Some(checkpoint);
    assert_eq!(fixture.start(second.clone()).await, StartReply::Started);
    assert_eq!(
        fixture.wait_for_report(second.run).await.result,
        RunResult::Finished
    );
    let (first, second) = (fixture.task(first.run), fixture.task(second.run));
    let (first, second) = (first.expect("it ran"), second.expect("it ran"));
    assert_eq!(second.from_us, first.progress_us);
    assert_eq!(second.progress_us, 600_000);
}

#[rstest]
#[case::checkpoint(StopMode::Checkpoint)]
#[case::stop(StopMode::Stop)]
#[case::finish(StopMode::Finish)]
#[tokio::test]
async fn withdrawal_ends_active_runs_by_its_mode_and_refuses_older_bindings(
    #[case] mode: StopMode,
) {
    let fixture = WorkerFixture::set_up().await;
    let running = fixture.start_request(0, 1, r#"{"duration_ms": 700}"#);
    fixture.start(running.clone()).await;
    // Between the binding positions of task 1 and task 2.
    let version = Version(Position::new(Offset(115), 0));
    let withdrawal = Withdrawal {
        selector: Selector::Tag("season:2026".parse().expect("a valid name")),
        mode,
        version,
    };
    let config = ConfigState {
        version,
        preset: None,
        withdrawals: vec![withdrawal],
    };
    fixture.client.configure(config).await.expect("a reply");
    let result = fixture.wait_for_report(running.run).await.result;
    match mode {
        StopMode::Checkpoint => assert!(matches!(result, RunResult::Evicted { .. }), "{result:?}"),
        StopMode::Stop => assert_eq!(result, RunResult::Stopped),
        StopMode::Finish => assert_eq!(result, RunResult::Finished),
    }
    assert!(is_refused(
        &fixture.start(fixture.start_request(1, 1, SHORT_TASK)).await
    ));
    let bound_after = fixture.start(fixture.start_request(2, 1, SHORT_TASK)).await;
    assert_eq!(bound_after, StartReply::Started);
}

#[tokio::test]
async fn runs_never_exceed_the_worker_capacity() {
    let fixture = WorkerFixture::set_up().await;
    let runs = (0..8).map(|index| fixture.start_request(index, 1, LONG_TASK));
    let mut replies = Vec::new();
    for run in runs {
        replies.push(fixture.client.start(run));
    }
    let mut started = 0;
    for reply in replies {
        started += u32::from(reply.await.expect("a reply") == StartReply::Started);
    }
    assert_eq!(started, 2);
    let ran = fixture.worker.ran();
    assert_eq!((ran.tasks.len(), ran.peak_memory), (2, 4_096));
}

#[tokio::test]
async fn throttled_run_is_reported_as_throttled_until_released() {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, LONG_TASK);
    fixture.start(run.clone()).await;
    let step_seen = |step| {
        move |state: &crate::support::EntryState| {
            let last = state.heartbeats.last();
            last.is_some_and(|heartbeat| {
                let mut runs = heartbeat.runs.iter();
                runs.any(|status| status.run == run.run && status.step == step)
            })
        }
    };
    fixture.send_action(run.run, RunAction::Throttle).await;
    fixture
        .entry
        .wait_until("a throttled run", step_seen(Some(RunAction::Throttle)))
        .await;
    fixture.send_action(run.run, RunAction::Release).await;
    fixture
        .entry
        .wait_until("a released run", step_seen(None))
        .await;
}

#[rstest]
#[case::fails(r#"{"duration_ms": 20, "fails": true}"#, false)]
#[case::exceeds_its_memory(r#"{"duration_ms": 600000, "memory_mib": 3000}"#, true)]
#[tokio::test]
async fn failure_report_says_whether_a_resource_was_exhausted(
    #[case] payload: &str,
    #[case] expected: bool,
) {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, payload);
    fixture.start(run.clone()).await;
    let RunResult::Failed { exhausted, .. } = fixture.wait_for_report(run.run).await.result else {
        panic!("expected a failure");
    };
    assert_eq!(exhausted, expected);
}

#[tokio::test]
async fn run_larger_than_the_worker_is_refused() {
    let fixture = WorkerFixture::set_up().await;
    let mut run = fixture.start_request(0, 1, SHORT_TASK);
    run.demand = Resources::new(1, 4_097, 0);
    assert!(is_refused(&fixture.start(run.clone()).await));
    let result = fixture.wait_for_report(run.run).await.result;
    assert!(matches!(result, RunResult::NotStarted { .. }), "{result:?}");
}

#[tokio::test]
async fn restart_of_supervised_tasks_does_not_affect_active_runs() {
    let fixture = WorkerFixture::set_up().await;
    let run = fixture.start_request(0, 1, LONG_TASK);
    fixture.start(run.clone()).await;
    for child in ["announce", "links", "usage"] {
        fixture.agent.control().kill(child);
    }
    let before = fixture.entry.state().heartbeats.len();
    let more = |state: &crate::support::EntryState| state.heartbeats.len() > before + 10;
    fixture
        .entry
        .wait_until("heartbeats after the restart", more)
        .await;
    assert_eq!(fixture.task_status(&run), Some(TaskStatus::Running));
    assert!(fixture.entry.state().reports.is_empty());
}

/// Entries take a run that an agent that leaves doesn't list for one that never starts. Without this, the
/// task of a run that has finished would be started again.
#[tokio::test]
async fn ended_run_is_listed_until_its_end_is_recorded() {
    let fixture = WorkerFixture::set_up_with(|state| state.report_ack = ReportAck::Again).await;
    let run = fixture.start_request(0, 1, SHORT_TASK);
    assert_eq!(fixture.start(run.clone()).await, StartReply::Started);
    fixture.wait_for_report(run.run).await;
    let count = fixture.entry.state().heartbeats.len();
    let entry = &fixture.entry;
    entry
        .wait_until("later heartbeats", |state| {
            state.heartbeats.len() >= count + 2
        })
        .await;
    let lists = |state: &crate::support::EntryState| {
        let last = state.heartbeats.last().expect("heartbeats were seen");
        last.runs.iter().any(|status| status.run == run.run)
    };
    assert!(lists(&entry.state()));
    entry.state().report_ack = ReportAck::Recorded;
    entry
        .wait_until("the run is no longer listed", |state| !lists(state))
        .await;
}

//! Start, steps and end of batch runs.

use agate_core::ids::Offset;
use agate_core::{Position, Resources, Version};
use agate_wire::message::{
    ConfigState, ReportAck, RunAction, RunActionReply, RunResult, Selector, StartReply, StopMode,
    Withdrawal,
};
use agate_wire::rpc::AgentRpcClient;
use rstest::rstest;
use standin_worker::TaskStatus;

use crate::support::{LONG, OnWorker, SHORT, dial, is_refused, until};

#[tokio::test]
async fn run_that_is_started_twice_runs_once_and_its_end_is_reported() {
    let on = OnWorker::set_up().await;
    let run = on.run(0, 1, r#"{"duration_ms": 1500}"#);
    let other = dial(on.agent.address()).await;
    let both = tokio::join!(on.client.start(run.clone()), other.start(run.clone()));
    assert_eq!(both.0.expect("a reply"), StartReply::Started);
    assert_eq!(both.1.expect("a reply"), StartReply::Started);

    let report = on.report(run.run).await;
    assert_eq!(report.result, RunResult::Finished);
    assert_eq!(report.peak.memory_mib, 2_048);
    assert_eq!(on.start(run.clone()).await, StartReply::Started);
    assert_eq!(on.worker.ran().tasks.len(), 1);
    let sampled = |state: &crate::support::EntryState| {
        let mut usage = state.heartbeats.iter().flat_map(|h| &h.usage);
        usage.any(|sample| sample.run == run.run && sample.age_ms >= 50)
    };
    on.entry.until("a lagging usage reading", sampled).await;
}

#[rstest]
#[case::cancel(RunAction::Cancel)]
#[case::evict(RunAction::Evict)]
#[case::throttle(RunAction::Throttle)]
#[tokio::test]
async fn step_before_the_start_keeps_the_run_from_starting(#[case] kind: RunAction) {
    let on = OnWorker::set_up().await;
    let run = on.run(0, 1, SHORT);
    assert_eq!(
        on.take_step(run.run, kind).await,
        RunActionReply::NotStarted
    );
    assert!(is_refused(&on.start(run).await));
    assert_eq!(on.worker.ran().tasks.len(), 0);
}

#[tokio::test]
async fn room_of_an_evicted_run_is_kept_until_its_checkpoint_is_on_record() {
    let on = OnWorker::set_up_with(|state| state.report_ack = ReportAck::Again).await;
    let (evicted, kept) = (on.run(0, 1, LONG), on.run(1, 1, LONG));
    for run in [&evicted, &kept] {
        assert_eq!(on.start(run.clone()).await, StartReply::Started);
    }
    let reply = on.take_step(evicted.run, RunAction::Evict).await;
    assert_eq!(reply, RunActionReply::Accepted);
    on.report(evicted.run).await;
    assert!(is_refused(&on.start(on.run(2, 1, LONG)).await));

    on.entry.state().report_ack = ReportAck::Recorded;
    let freed = |state: &crate::support::EntryState| {
        let last = state.heartbeats.last();
        last.is_some_and(|heartbeat| heartbeat.load.held.memory_mib == 2_048)
    };
    on.entry.until("room", freed).await;
    let next = on.start(on.run(3, 1, LONG)).await;
    assert_eq!(next, StartReply::Started);
    assert!(on.worker.ran().peak_memory <= 4_096);
}

#[tokio::test]
async fn evicted_run_resumes_from_its_checkpoint() {
    let on = OnWorker::set_up().await;
    let first = on.run(0, 1, r#"{"duration_ms": 600}"#);
    on.start(first.clone()).await;
    let worked = || on.task(first.run).is_some_and(|task| task.progress_us > 0);
    until("some progress", worked).await;
    on.take_step(first.run, RunAction::Evict).await;
    let RunResult::Evicted { checkpoint } = on.report(first.run).await.result else {
        panic!("expected an eviction");
    };
    let mut second = on.run(0, 2, r#"{"duration_ms": 600}"#);
    second.checkpoint = Some(checkpoint);
    assert_eq!(on.start(second.clone()).await, StartReply::Started);
    assert_eq!(on.report(second.run).await.result, RunResult::Finished);
    let (first, second) = (on.task(first.run), on.task(second.run));
    let (first, second) = (first.expect("it ran"), second.expect("it ran"));
    assert_eq!(second.from_us, first.progress_us);
    assert_eq!(second.progress_us, 600_000);
}

#[rstest]
#[case::checkpoint(StopMode::Checkpoint)]
#[case::stop(StopMode::Stop)]
#[case::finish(StopMode::Finish)]
#[tokio::test]
async fn withdrawal_ends_running_work_as_asked_and_keeps_older_bindings_from_starting(
    #[case] mode: StopMode,
) {
    let on = OnWorker::set_up().await;
    let running = on.run(0, 1, r#"{"duration_ms": 700}"#);
    on.start(running.clone()).await;
    // Between the positions at which task 1 and task 2 are bound.
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
    on.client.configure(config).await.expect("a reply");
    let result = on.report(running.run).await.result;
    match mode {
        StopMode::Checkpoint => assert!(matches!(result, RunResult::Evicted { .. }), "{result:?}"),
        StopMode::Stop => assert_eq!(result, RunResult::Stopped),
        StopMode::Finish => assert_eq!(result, RunResult::Finished),
    }
    assert!(is_refused(&on.start(on.run(1, 1, SHORT)).await));
    let bound_after = on.start(on.run(2, 1, SHORT)).await;
    assert_eq!(bound_after, StartReply::Started);
}

#[tokio::test]
async fn worker_is_never_given_more_than_it_carries() {
    let on = OnWorker::set_up().await;
    let runs = (0..8).map(|index| on.run(index, 1, LONG));
    let mut replies = Vec::new();
    for run in runs {
        replies.push(on.client.start(run));
    }
    let mut started = 0;
    for reply in replies {
        started += u32::from(reply.await.expect("a reply") == StartReply::Started);
    }
    assert_eq!(started, 2);
    let ran = on.worker.ran();
    assert_eq!((ran.tasks.len(), ran.peak_memory), (2, 4_096));
}

#[tokio::test]
async fn throttled_run_is_slower_until_it_is_released() {
    let on = OnWorker::set_up().await;
    let run = on.run(0, 1, LONG);
    on.start(run.clone()).await;
    let step_seen = |step| {
        move |state: &crate::support::EntryState| {
            let last = state.heartbeats.last();
            last.is_some_and(|heartbeat| {
                let mut runs = heartbeat.runs.iter();
                runs.any(|status| status.run == run.run && status.step == step)
            })
        }
    };
    on.take_step(run.run, RunAction::Throttle).await;
    on.entry
        .until("a throttled run", step_seen(Some(RunAction::Throttle)))
        .await;
    on.take_step(run.run, RunAction::Release).await;
    on.entry.until("a released run", step_seen(None)).await;
}

#[rstest]
#[case::fails(r#"{"duration_ms": 20, "fails": true}"#, false)]
#[case::passes_its_memory(r#"{"duration_ms": 600000, "memory_mib": 3000}"#, true)]
#[tokio::test]
async fn failure_is_reported_with_its_kind(#[case] payload: &str, #[case] expected: bool) {
    let on = OnWorker::set_up().await;
    let run = on.run(0, 1, payload);
    on.start(run.clone()).await;
    let RunResult::Failed { exhausted, .. } = on.report(run.run).await.result else {
        panic!("expected a failure");
    };
    assert_eq!(exhausted, expected);
}

#[tokio::test]
async fn run_larger_than_the_worker_is_refused() {
    let on = OnWorker::set_up().await;
    let mut run = on.run(0, 1, SHORT);
    run.demand = Resources::new(1, 4_097, 0);
    assert!(is_refused(&on.start(run.clone()).await));
    let result = on.report(run.run).await.result;
    assert!(matches!(result, RunResult::NotStarted { .. }), "{result:?}");
}

#[tokio::test]
async fn restart_of_the_announcement_leaves_held_runs_alone() {
    let on = OnWorker::set_up().await;
    let run = on.run(0, 1, LONG);
    on.start(run.clone()).await;
    for child in ["announce", "links", "usage"] {
        on.agent.control().kill(child);
    }
    let before = on.entry.state().heartbeats.len();
    let more = |state: &crate::support::EntryState| state.heartbeats.len() > before + 10;
    on.entry.until("heartbeats after the restart", more).await;
    assert_eq!(on.status(&run), Some(TaskStatus::Running));
    assert!(on.entry.state().reports.is_empty());
}

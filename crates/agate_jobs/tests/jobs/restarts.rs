//! Restarts of long-running tasks, which run until their job is cancelled, however their runs end.

use std::time::Duration;

use agate_core::JobId;
use agate_jobs::crash::Crash;
use agate_jobs::record::{Body, OrderKind};
use agate_jobs::{EndCause, JobState, LossReason, Record, RunEnd, StepSpec};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{cancelled, ended, report, step, submitted, task};

/// Returns a step of long-running tasks.
fn long_running(tasks: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(tasks)
    }
}

/// Places what is ready, and returns the steps, indices and runs.
fn placed(fleet: &mut Fleet) -> Vec<(u32, u32, u32)> {
    let placed = fleet.place().into_iter();
    placed.map(|p| (p.task.step, p.task.index, p.run)).collect()
}

/// Returns the end of a run that lasted for `ran_ms`.
fn ended_after(ran_ms: u64, run: u32, cause: EndCause) -> Record {
    let mut record = ended(task(1, 0, 0), run, cause, "a");
    if let Some(Body::Ended(end)) = &mut record.body {
        end.ran_ms = ran_ms;
    }
    record
}

/// A long-running task never ran again after an end `done` (LOST, review/10); any other must not (TWICE).
#[rstest]
#[case::long_running(long_running(1), &[(0, 0, 2)], JobState::Running)]
#[case::others(step(1), &[], JobState::Completed)]
fn a_task_whose_run_ended_done(
    #[case] step: StepSpec,
    #[case] expected: &[(u32, u32, u32)],
    #[case] state: JobState,
    #[values(false, true)] read_by_new_leader: bool,
) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step]));
    assert_eq!(placed(&mut fleet), [(0, 0, 1)]);
    let end = ended_after(60_000, 1, EndCause::Done);
    if read_by_new_leader {
        fleet.table.fold(end);
        fleet.take_over();
    } else {
        fleet.fold(end);
    }
    assert_eq!(placed(&mut fleet), expected);
    assert_eq!(fleet.table.state(JobId(1)), Some(state));
}

/// A leader that takes over after the end of the first run would stop the second one, or drop its order.
#[rstest]
fn the_second_run_of_a_long_running_task_goes_on_after_a_takeover(
    #[values(EndCause::Done, EndCause::Untraced)] first: EndCause,
    #[values(false, true)] again: bool,
) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(1)]));
    assert_eq!(placed(&mut fleet), [(0, 0, 1)]);
    fleet.fold(ended_after(60_000, 1, first));
    assert_eq!(placed(&mut fleet), [(0, 0, 2)]);
    if again {
        // The first run was taken for lost, and had ended done.
        fleet.fold(ended_after(60_000, 1, EndCause::Done));
    }
    fleet.take_over();
    assert_eq!(placed(&mut fleet), []);
    assert!(fleet.scheduler.is_bound(JobId(1)), "its order is dropped");
    let kinds = fleet.orders.iter().filter_map(|record| match &record.body {
        Some(Body::Order(order)) => Some(&order.kind),
        _ => None,
    });
    let stops = kinds.filter(|kind| matches!(kind, OrderKind::Stop { .. }));
    assert_eq!(stops.count(), 0, "it is stopped");
}

/// A step that depends on a long-running one would never start, as the tasks of that one never finish.
#[test]
fn a_step_that_depends_on_a_long_running_one_starts_once_its_tasks_have_ended_done() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let after = StepSpec {
        after: vec![0],
        ..step(1)
    };
    fleet.fold(submitted(1, vec![long_running(2), after]));
    assert_eq!(placed(&mut fleet), [(0, 0, 1), (0, 1, 1)]);
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    assert_eq!(placed(&mut fleet), [(0, 0, 2)]);
    fleet.fold(ended(task(1, 0, 1), 1, EndCause::Failed, "a"));
    assert_eq!(placed(&mut fleet), [(0, 1, 2)]);
    fleet.fold(ended(task(1, 0, 1), 2, EndCause::Done, "a"));
    assert_eq!(placed(&mut fleet), [(0, 1, 3), (1, 0, 1)]);
    fleet.fold(ended(task(1, 1, 0), 1, EndCause::Done, "a"));
    assert_eq!(placed(&mut fleet), []);
    assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Running));
}

/// One end `done` stands for all members of a gang, which finished a long-running one for good.
#[test]
fn a_long_running_gang_is_started_again_as_a_whole() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let gang = StepSpec {
        gang: true,
        ..long_running(2)
    };
    fleet.fold(submitted(1, vec![gang]));
    assert_eq!(placed(&mut fleet), [(0, 0, 1), (0, 1, 1)]);
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    assert_eq!(placed(&mut fleet), [], "the other one is still there");
    fleet.fold(ended(task(1, 0, 1), 1, EndCause::Done, "a"));
    assert_eq!(placed(&mut fleet), [(0, 0, 2), (0, 1, 2)]);
}

/// Ends `done` are no failures, however many there are, and the job stays running.
#[test]
fn ends_done_of_a_long_running_task_do_not_use_up_its_attempts() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(1)]));
    for run in 1..10 {
        assert_eq!(placed(&mut fleet), [(0, 0, run)]);
        fleet.fold(ended_after(60_000, run, EndCause::Done));
        assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Running));
    }
}

/// A run that ends by itself while it is being stopped is not started again once its job is cancelled.
#[test]
fn a_long_running_task_that_ends_done_after_a_cancel_stays_cancelled() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(1)]));
    assert_eq!(placed(&mut fleet), [(0, 0, 1)]);
    fleet.fold(cancelled(1));
    fleet.fold(ended_after(60_000, 1, EndCause::Done));
    fleet.now = fleet.now + Duration::from_secs(10);
    assert_eq!(placed(&mut fleet), []);
    assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Cancelled));
}

/// A task that had once ended `done` was never taken for the cause of a crash, and would crash worker after worker.
#[test]
fn a_long_running_task_that_crashes_its_workers_is_given_up_after_an_end_done() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(1)]));
    fleet.fold(ended_after(60_000, 1, EndCause::Done));
    for run in 2..=7 {
        fleet.fold(Record::new(Body::Ended(RunEnd {
            task: task(1, 0, 0),
            run,
            cause: EndCause::Lost,
            checkpoint: String::new(),
            worker: format!("w{run}"),
            ran_ms: 10,
            loss: Some(LossReason::Restarted),
            crash: Some(Crash {
                address: format!("w{run}:1"),
                ran_ms: 10,
                within_ms: 10,
                peers: 0,
                unstable: false,
            }),
        })));
    }
    assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Failed));
}

/// Ends the runs of a long-running task `ran_ms` after each start, and returns the pauses before the next ones.
fn pauses(ends: &[(u64, EndCause)]) -> Vec<u64> {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(1)]));
    assert_eq!(placed(&mut fleet), [(0, 0, 1)]);
    let mut found = Vec::new();
    for (run, (ran_ms, cause)) in (1..).zip(ends) {
        fleet.fold(ended_after(*ran_ms, run, *cause));
        let ended_at = fleet.now;
        while placed(&mut fleet).is_empty() {
            fleet.now = fleet.now + Duration::from_millis(50);
            assert!(
                fleet.now.since(ended_at) < Duration::from_secs(3),
                "run {run} is not followed by another one"
            );
        }
        let waited = fleet.now.since(ended_at).as_millis();
        found.push(u64::try_from(waited).expect("it is short"));
    }
    found
}

/// A task whose program ends at once would be started without a pause until its job is cancelled.
#[rstest]
#[case::short_runs(&[(10, EndCause::Done); 7], &[0, 250, 500, 1_000, 2_000, 2_000, 2_000])]
#[case::runs_that_last(&[(4_000, EndCause::Done); 4], &[0, 0, 0, 0])]
#[case::stops(&[(10, EndCause::Stopped); 4], &[0, 0, 0, 0])]
#[case::a_longer_run_between(
    &[(10, EndCause::Done), (10, EndCause::Done), (5_000, EndCause::Done), (10, EndCause::Done)],
    &[0, 250, 0, 0]
)]
#[case::a_stop_between(
    &[(10, EndCause::Done), (10, EndCause::Done), (10, EndCause::Stopped), (10, EndCause::Done)],
    &[0, 250, 0, 0]
)]
fn restarts_of_a_task_that_ends_at_once_are_delayed(
    #[case] ends: &[(u64, EndCause)],
    #[case] expected: &[u64],
) {
    assert_eq!(pauses(ends), expected);
}

/// The pause holds for the task alone: another one of the same job runs at once.
#[test]
fn a_pause_holds_back_no_other_task() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(2)]));
    assert_eq!(placed(&mut fleet), [(0, 0, 1), (0, 1, 1)]);
    fleet.fold(ended_after(10, 1, EndCause::Done));
    assert_eq!(placed(&mut fleet), [(0, 0, 2)]);
    fleet.fold(ended_after(10, 2, EndCause::Done));
    fleet.fold(ended(task(1, 0, 1), 1, EndCause::Done, "a"));
    assert_eq!(placed(&mut fleet), [(0, 1, 2)]);
    let delayed = fleet.scheduler.take_delayed_restarts();
    let delayed: Vec<_> = delayed.iter().map(|d| (d.task, d.short_runs)).collect();
    assert_eq!(delayed, [(task(1, 0, 0), 2)]);
    assert!(fleet.scheduler.take_delayed_restarts().is_empty());
}

/// The members of a gang are started together, so that the pause of one holds back all of them.
#[test]
fn a_delayed_gang_waits_for_all_of_its_members() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let gang = StepSpec {
        gang: true,
        ..long_running(2)
    };
    fleet.fold(submitted(1, vec![gang]));
    for run in 1..=2 {
        assert_eq!(placed(&mut fleet), [(0, 0, run), (0, 1, run)]);
        for index in 0..2 {
            fleet.fold(ended(task(1, 0, index), run, EndCause::Done, "a"));
        }
    }
    assert_eq!(placed(&mut fleet), []);
    fleet.now = fleet.now + Duration::from_millis(250);
    assert_eq!(placed(&mut fleet), [(0, 0, 3), (0, 1, 3)]);
}

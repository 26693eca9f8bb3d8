//! Jobs that a scheduler starts to queue while some of their tasks are already running.

use agate_core::{Incarnation, JobId, Resources, TaskId};
use agate_place::{AdoptedRun, Disposition, JobSpec, Policy, RunOutcome};
use rstest::rstest;

use crate::support::{at, class, job, scheduler, team};

fn adopted(index: u32) -> AdoptedRun {
    AdoptedRun {
        task: TaskId {
            job: JobId(1),
            index,
        },
        worker: Incarnation::new(0),
        demand: Resources::new(1_000, 1_024, 0),
        declared: Resources::new(1_000, 1_024, 0),
        team: team("kehilla"),
        class: class("rebalance"),
    }
}

#[rstest]
#[case::lost(RunOutcome::Lost)]
#[case::not_started(RunOutcome::NotStarted)]
#[case::evicted(RunOutcome::Evicted)]
#[case::stopped(RunOutcome::Stopped)]
#[case::failed(RunOutcome::Failed)]
fn a_task_that_ran_before_its_job_was_queued_is_not_reported_as_requeued(#[case] end: RunOutcome) {
    let mut scheduler = scheduler(Policy::default(), 3);
    scheduler.adopt(at(1), &adopted(0));
    let waiting = JobSpec {
        tasks: std::iter::once(1..4).collect(),
        ..job(1, 4)
    };
    scheduler.push(at(2), &waiting);

    let ended = scheduler.ended(at(3), adopted(0).task, end, Resources::ZERO);

    // The queue never held the task, so the caller must queue it again.
    assert_eq!(ended, Disposition::Unknown);
    assert_eq!(scheduler.waiting_count(JobId(1)), 3);
}

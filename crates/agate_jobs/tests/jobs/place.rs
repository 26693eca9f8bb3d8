//! Placement of tasks.

use agate_core::JobId;
use agate_jobs::pace::{Headroom, Interference};
use agate_jobs::record::Body;
use agate_jobs::{EndCause, OrderKind, Record, StepSpec, WorkerReport, WorkerState};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{ended, report, step, submitted, task};

fn workers_of(fleet: &mut Fleet) -> Vec<String> {
    let mut names: Vec<String> = fleet.place().into_iter().map(|p| p.worker).collect();
    names.sort();
    names
}

fn counted(step: StepSpec, workers: &[WorkerReport]) -> usize {
    let mut fleet = Fleet::new(workers);
    fleet.fold(submitted(1, vec![step]));
    fleet.place().len()
}

#[rstest]
#[case::processors(step(9), 4)]
#[case::memory(StepSpec { demand: agate_core::Resources::new(1, 400, 0), ..step(9) }, 2)]
#[case::accelerators(StepSpec { demand: agate_core::Resources::new(1, 1, 1), ..step(9) }, 0)]
#[case::label(StepSpec { label: "b".to_owned(), ..step(9) }, 0)]
#[case::own_label(StepSpec { label: "a".to_owned(), ..step(9) }, 4)]
#[case::most_per_worker(StepSpec { per_worker: 3, ..step(9) }, 3)]
#[case::gang_that_fits(StepSpec { gang: true, ..step(4) }, 4)]
#[case::gang_that_does_not(StepSpec { gang: true, ..step(5) }, 0)]
fn a_worker_of_four_cores_takes(#[case] step: StepSpec, #[case] expected: usize) {
    assert_eq!(counted(step, &[report("a", 1)]), expected);
}

#[rstest]
#[case::draining(WorkerReport { state: WorkerState::Draining, ..report("a", 1) })]
#[case::of_another_service(WorkerReport { service: "other".to_owned(), ..report("a", 1) })]
fn no_task_goes_to_a_worker(#[case] worker: WorkerReport) {
    assert_eq!(counted(step(1), &[worker]), 0);
}

#[test]
fn a_failed_task_goes_to_another_worker() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let first = workers_of(&mut fleet).remove(0);
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Failed, &first));
    let second = workers_of(&mut fleet).remove(0);
    assert_ne!(first, second);
}

#[test]
fn a_worker_that_fails_several_jobs_is_left_alone() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    for job in 1..=2 {
        fleet.fold(submitted(job, vec![step(1)]));
    }
    fleet.place();
    for job in 1..=2 {
        fleet.fold(ended(task(job, 0, 0), 1, EndCause::Failed, "a"));
    }
    assert!(fleet.place().is_empty());
    fleet.now = fleet.now + std::time::Duration::from_secs(3);
    let first = fleet.place();
    assert_eq!(first.len(), 1, "one shows whether it does well again");
    fleet.fold(ended(first[0].task, 2, EndCause::Done, "a"));
    assert_eq!(fleet.place().len(), 1);
}

#[test]
fn a_task_is_not_started_again_after_its_attempts() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    for run in 1..=2 {
        let worker = workers_of(&mut fleet).remove(0);
        fleet.fold(ended(task(1, 0, 0), run, EndCause::Failed, &worker));
    }
    fleet.now = fleet.now + std::time::Duration::from_secs(10);
    assert!(fleet.place().is_empty());
}

#[test]
fn a_cancelled_job_is_stopped_once() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(2)]));
    fleet.place();
    for _ in 0..2 {
        fleet.fold(Record::new(Body::Cancelled { job: JobId(1) }));
    }
    let stop = |kind: &OrderKind| matches!(kind, OrderKind::Stop { .. });
    let issued = fleet.issued();
    assert_eq!(issued.iter().filter(|order| stop(&order.kind)).count(), 2);
    assert!(fleet.place().is_empty());
}

#[test]
fn room_of_a_stopped_run_is_free_only_after_its_end() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(4)]));
    fleet.place();
    fleet.fold(Record::new(Body::Cancelled { job: JobId(1) }));
    fleet.fold(submitted(2, vec![step(1)]));
    assert!(fleet.place().is_empty());
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Stopped, "a"));
    assert_eq!(fleet.place().len(), 1);
}

#[test]
fn the_next_run_continues_from_the_checkpoint() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    fleet.place();
    let mut end = ended(task(1, 0, 0), 1, EndCause::Stopped, "a");
    if let Some(Body::Ended(end)) = &mut end.body {
        end.checkpoint = "half".to_owned();
    }
    fleet.fold(end);
    fleet.place();
    let issued = fleet.issued();
    let last = issued.last().expect("it was started again");
    assert_eq!(last.run, 2);
    let OrderKind::Start { checkpoint, .. } = &last.kind else {
        panic!("it is a start");
    };
    assert_eq!(checkpoint, "half");
}

#[test]
fn members_of_a_gang_share_a_run_number() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let gang = StepSpec {
        gang: true,
        ..step(2)
    };
    fleet.fold(submitted(1, vec![gang]));
    fleet.place();
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Failed, "a"));
    assert!(fleet.place().is_empty(), "one member still runs");
    fleet.fold(ended(task(1, 0, 1), 1, EndCause::Broken, "a"));
    let runs: Vec<u32> = fleet.place().into_iter().map(|placed| placed.run).collect();
    assert_eq!(runs, [2, 2]);
}

fn serving() -> StepSpec {
    StepSpec {
        long_running: true,
        target_ms: 18,
        image: "serves".to_owned(),
        ..step(3)
    }
}

fn best_effort() -> StepSpec {
    StepSpec {
        best_effort: true,
        image: "fills".to_owned(),
        ..step(1)
    }
}

fn pressed(name: &str, added_milli: u32, headroom_milli: u32) -> WorkerReport {
    let mut report = report(name, 1);
    report.interference = vec![Interference {
        serving: "serves".to_owned(),
        best_effort: "fills".to_owned(),
        milli: added_milli,
    }];
    report.headroom = vec![Headroom {
        serving: "serves".to_owned(),
        milli: headroom_milli,
    }];
    report
}

#[rstest]
#[case::light(100, 300, 1)]
#[case::heavy(900, 300, 0)]
#[case::no_headroom(300, 0, 0)]
fn a_filling_task_waits_where_it_would_be_slow(
    #[case] added_milli: u32,
    #[case] headroom_milli: u32,
    #[case] expected: usize,
) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![serving()]));
    assert_eq!(fleet.place().len(), 3);
    fleet.fold(Record::new(Body::Worker(pressed(
        "a",
        added_milli,
        headroom_milli,
    ))));
    fleet.fold(submitted(2, vec![best_effort()]));
    assert_eq!(fleet.place().len(), expected);
}

#[test]
fn a_filling_task_does_not_wait_while_half_of_the_service_is_idle() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let few = StepSpec {
        tasks: 1,
        ..serving()
    };
    fleet.fold(submitted(1, vec![few]));
    fleet.place();
    fleet.fold(Record::new(Body::Worker(pressed("a", 900, 300))));
    fleet.fold(submitted(2, vec![best_effort()]));
    assert_eq!(fleet.place().len(), 1);
}

#[test]
fn serving_tasks_of_one_image_share_workers() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    let other = StepSpec {
        image: "other".to_owned(),
        ..serving()
    };
    let pair = |step: StepSpec| StepSpec { tasks: 2, ..step };
    fleet.fold(submitted(1, vec![pair(serving())]));
    let first = workers_of(&mut fleet);
    fleet.fold(submitted(2, vec![pair(other)]));
    let second = workers_of(&mut fleet);
    assert_eq!(first[0], first[1]);
    assert_eq!(second[0], second[1]);
    assert_ne!(first[0], second[0]);
}

/// A task of one core fits as soon as one becomes free, one of two cores would never.
#[test]
fn short_tasks_leave_room_for_a_lasting_one_that_waits() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(20)]));
    assert_eq!(fleet.place().len(), 4);
    let long_running = StepSpec {
        long_running: true,
        demand: agate_core::Resources::new(2_000, 1, 0),
        ..step(1)
    };
    fleet.fold(submitted(2, vec![long_running]));
    assert!(fleet.place().is_empty());
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    assert!(fleet.place().is_empty(), "the core is kept for it");
    fleet.fold(ended(task(1, 0, 1), 1, EndCause::Done, "a"));
    let placed = fleet.place();
    assert_eq!(placed[0].task, task(2, 0, 0));
    assert_eq!(placed.len(), 1);
}

#[test]
fn room_is_kept_only_where_a_lasting_task_can_run() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    fleet.fold(submitted(1, vec![step(20)]));
    fleet.place();
    let long_running = StepSpec {
        long_running: true,
        label: "none has it".to_owned(),
        ..step(1)
    };
    fleet.fold(submitted(2, vec![long_running]));
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    assert_eq!(fleet.place().len(), 1);
}

#[test]
fn one_task_shows_whether_a_worker_does_well_again() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(4)]));
    assert_eq!(fleet.place().len(), 4);
    for index in 0..4 {
        fleet.fold(ended(task(1, 0, index), 1, EndCause::Stalled, "a"));
    }
    assert!(fleet.place().is_empty());
    fleet.now = fleet.now + std::time::Duration::from_secs(3);
    assert_eq!(fleet.place().len(), 1, "one to find out");
    fleet.fold(ended(task(1, 0, 0), 2, EndCause::Stalled, "a"));
    fleet.now = fleet.now + std::time::Duration::from_secs(3);
    assert_eq!(fleet.place().len(), 1);
    fleet.fold(ended(task(1, 0, 0), 3, EndCause::Done, "a"));
    assert_eq!(fleet.place().len(), 3);
}

/// kra-pricing-grown, inc-fea5: a worker that had finished 69 tasks within six seconds failed the next
/// 200, as its failures were weighed against all of them.
#[test]
fn a_worker_that_begins_to_fail_everything_is_left_alone_soon() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    for job in 1..=30 {
        fleet.fold(submitted(job, vec![step(2)]));
    }
    for _ in 0..5 {
        for placed in fleet.place() {
            fleet.fold(ended(placed.task, placed.run, EndCause::Done, "a"));
        }
    }
    let mut failed = 0;
    for _ in 0..5 {
        for placed in fleet.place() {
            failed += 1;
            fleet.fold(ended(placed.task, placed.run, EndCause::Failed, "a"));
        }
    }
    assert_eq!(failed, 4, "only those that ran already");
}

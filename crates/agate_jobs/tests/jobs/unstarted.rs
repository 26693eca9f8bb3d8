//! Tests of runs that are bound and that their agents have not started.

use std::time::Duration;

use agate_core::{Moment, Resources};
use agate_jobs::plan::{OldestUnstarted, Placement, ShortWait, Trust, Unstarted};
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, StartBlock, StepSpec, UnstartedRun, WorkerReport};
use rstest::rstest;

use crate::fleet::{Fleet, LEASE};
use crate::place::best_effort_step;
use crate::starved::{busy_fleet, large, serving_fleet};
use crate::support::{ended, report, step, submitted, task};

const ROUND: Duration = Duration::from_millis(100);

/// Time between two summaries.
const PASS_PERIOD: Duration = Duration::from_millis(100);

/// Returns the report of an agent that has not started `runs`.
fn reporting(worker: &str, runs: &[Placement]) -> Record {
    unstarted_on(report(worker, 1), runs)
}

/// Returns a report that lists those of `runs` that are bound to its worker as not started.
fn unstarted_on(report: WorkerReport, runs: &[Placement]) -> Record {
    let worker = &report.incarnation.name;
    let runs = runs.iter().filter(|placed| placed.worker == *worker);
    let runs = runs.map(|placed| UnstartedRun {
        task: placed.task,
        run: placed.run,
    });
    Record::new(Body::Worker(WorkerReport {
        not_started: runs.collect(),
        ..report
    }))
}

/// No log of the leader named runs that were bound and never started.
#[test]
fn unstarted_runs_are_summarized_with_the_oldest_one() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(2, vec![step(1)]));
    let mut placed = fleet.place();
    fleet.now = fleet.now + Duration::from_millis(300);
    fleet.fold(submitted(1, vec![step(2)]));
    placed.extend(fleet.place());
    fleet.now = fleet.now + Duration::from_millis(1_500);
    fleet.fold(reporting("a", &placed[..2]));
    let expected = Unstarted {
        runs: 2,
        oldest: Some(OldestUnstarted {
            task: task(2, 0, 0),
            run: 1,
            worker: "a".to_owned(),
            age: Duration::from_millis(1_800),
        }),
    };
    assert_eq!(fleet.scheduler.take_unstarted(fleet.now), Some(expected));
    assert_eq!(fleet.scheduler.take_unstarted(fleet.now), None);
}

/// A line for each round would fill the log, and a run that starts would be counted for a second.
#[test]
fn a_run_is_named_once_a_second_and_counted_always() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let placed = fleet.place();
    let mut named = Vec::new();
    for round in 0..12 {
        let runs = if round == 6 { &[] } else { placed.as_slice() };
        fleet.fold(reporting("a", runs));
        let found = fleet
            .scheduler
            .take_unstarted(fleet.now)
            .expect("it is due");
        assert_eq!(found.runs, runs.len());
        named.extend(found.oldest.map(|_| round));
        fleet.now = fleet.now + PASS_PERIOD;
    }
    assert_eq!(named, [0, 10]);
}

/// A run that has ended since the report, and the next one of its task, would be named for as long as the agent
/// reports nothing new.
#[test]
fn runs_that_have_ended_are_not_summarized() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let placed = fleet.place();
    fleet.fold(reporting("a", &placed));
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Untraced, "a"));
    assert_eq!(fleet.place()[0].run, 2);
    let none = Unstarted {
        runs: 0,
        oldest: None,
    };
    assert_eq!(fleet.scheduler.take_unstarted(fleet.now), Some(none));
}

/// Returns a fleet in which a task of job 3, which has `tasks` tasks with data near `a`, has just been placed as that
/// of a starved job.
fn fleet_with_starved_job(tasks: u32) -> (Fleet, Placement) {
    let mut fleet = busy_fleet(8_000);
    let step = StepSpec {
        tasks,
        data_rack: "r-a".to_owned(),
        ..best_effort_step()
    };
    fleet.fold(submitted(3, vec![step]));
    let placed = place_rounds(&mut fleet, 30, &[]);
    let [first] = placed.as_slice() else {
        panic!("one task is placed: {placed:?}");
    };
    (fleet, first.clone())
}

/// Plays rounds until job 3 has got a task, or `rounds` of them. Agents report every eight rounds that they have
/// not started `unstarted`.
fn place_rounds(fleet: &mut Fleet, rounds: usize, unstarted: &[Placement]) -> Vec<Placement> {
    place_rounds_with(fleet, rounds, |name| {
        unstarted_on(large(name, 8_000), unstarted)
    })
}

/// Plays such rounds with the reports that `report_on` returns for each worker.
fn place_rounds_with(
    fleet: &mut Fleet,
    rounds: usize,
    report_on: impl Fn(&str) -> Record,
) -> Vec<Placement> {
    for round in 1..=rounds {
        fleet.now = fleet.now + ROUND;
        if round.is_multiple_of(8) {
            for name in ["a", "b"] {
                fleet.fold(report_on(name));
            }
        }
        let mut placed = fleet.place();
        placed.retain(|placed| placed.task.job.0 == 3);
        if !placed.is_empty() {
            return placed;
        }
    }
    Vec::new()
}

/// A job whose only bound task is not started waited for a whole lease, beside pending tasks and room.
#[test]
fn a_job_whose_run_is_not_started_gets_another_task_on_another_worker() {
    let (mut fleet, first) = fleet_with_starved_job(3);
    let orders = fleet.issued_orders().len();
    let second = place_rounds(&mut fleet, 10, std::slice::from_ref(&first));
    let [second] = second.as_slice() else {
        panic!("another task is placed: {second:?}");
    };
    assert_ne!(second.task, first.task);
    assert_ne!(second.worker, first.worker);
    // The first task stays bound: nothing is ordered for it.
    assert_eq!(fleet.issued_orders().len(), orders + 1);
    assert!(
        fleet
            .newest_orders()
            .iter()
            .any(|order| order.task == first.task)
    );
}

/// An agent that can't read its orders can't list a run as not started, and the job waited for the lease.
#[test]
fn a_job_whose_order_is_not_read_gets_another_task_on_another_worker() {
    let (mut fleet, first) = fleet_with_starved_job(3);
    assert_eq!(place_rounds(&mut fleet, 16, &[]), []);
    let second = place_rounds_with(&mut fleet, 14, |name| {
        let start_block = (name == first.worker).then_some(StartBlock::OrdersStale);
        Record::new(Body::Worker(WorkerReport {
            start_block,
            ..large(name, 8_000)
        }))
    });
    let workers: Vec<&str> = second.iter().map(|placed| placed.worker.as_str()).collect();
    assert_eq!(workers, ["b"]);
}

/// The cost of a worker that is cold outweighed that of one on which the job already waits.
#[test]
fn another_task_goes_to_the_other_worker_even_if_that_is_cold() {
    let (mut fleet, first) = fleet_with_starved_job(3);
    let runs = std::slice::from_ref(&first);
    let second = place_rounds_with(&mut fleet, 10, |name| {
        let cold_ms = if name == first.worker { 0 } else { 60_000 };
        let report = WorkerReport {
            cold_ms,
            ..large(name, 8_000)
        };
        unstarted_on(report, runs)
    });
    let workers: Vec<&str> = second.iter().map(|placed| placed.worker.as_str()).collect();
    assert_eq!(
        (first.worker.as_str(), workers.as_slice()),
        ("a", ["b"].as_slice())
    );
}

/// A second task of each starved job would take room from others while the first one runs.
#[test]
fn a_job_whose_run_is_started_gets_no_other_task() {
    let (mut fleet, _) = fleet_with_starved_job(3);
    assert_eq!(place_rounds(&mut fleet, 40, &[]), []);
}

/// A task that is bound may still be started, so another run of it could run twice.
#[test]
fn the_only_task_of_a_job_is_never_bound_twice() {
    let (mut fleet, first) = fleet_with_starved_job(1);
    assert_eq!(place_rounds(&mut fleet, 40, &[first]), []);
}

/// Returns the newest runs of a job as placements.
fn ordered_runs(fleet: &Fleet, job: u64) -> Vec<Placement> {
    let orders = fleet.newest_orders().into_iter();
    let orders = orders.filter(|order| order.task.job.0 == job);
    let runs = orders.map(|order| Placement {
        task: order.task,
        run: order.run,
        worker: order.incarnation.name,
        trust: Trust::Full,
    });
    runs.collect()
}

/// Bound runs that nobody had started counted as in use, so that starved jobs waited while little was at work.
#[rstest]
#[case::processors(Resources::new(5_000, 3_000, 0))]
#[case::memory(Resources::new(3_500, 4_500, 0))]
fn starved_jobs_run_while_the_runs_that_use_half_are_not_started(#[case] serving: Resources) {
    let mut fleet = serving_fleet([serving; 2], 8_000);
    let unstarted = ordered_runs(&fleet, 1);
    assert_eq!(unstarted.len(), 2);
    fleet.fold(submitted(3, vec![best_effort_step()]));
    let placed = place_rounds_with(&mut fleet, 30, |name| {
        unstarted_on(large(name, 8_000), &unstarted)
    });
    assert_eq!(placed.len(), 1);
}

/// Returns the wait of job 1, whose only task has been bound to `a`.
fn wait_of(fleet: &mut Fleet) -> Option<ShortWait> {
    fleet.place();
    let now = fleet.now;
    fleet.scheduler.take_short_wait(&fleet.table, now, 1_000)
}

/// Jobs that waited for a run that was not started were named by no log of the leader.
#[rstest]
#[case::reported(1_800, Some(1_800), &[1_800])]
#[case::started(1_800, Some(1_800), &[])]
#[case::unheard(2_100, None, &[2_100])]
#[case::recent(1_900, None, &[])]
fn a_wait_for_a_run_that_is_not_started_is_reported(
    #[case] passed_ms: u64,
    #[case] reported_ms: Option<u64>,
    #[case] expected_ms: &[u64],
) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let placed = fleet.place();
    fleet.now = Moment::ZERO + Duration::from_millis(passed_ms);
    if reported_ms.is_some() {
        let runs = if expected_ms.is_empty() {
            &[]
        } else {
            placed.as_slice()
        };
        fleet.fold(reporting("a", runs));
    }
    let wait = wait_of(&mut fleet);
    let waited: Vec<Duration> = wait.iter().map(|wait| wait.waited).collect();
    let expected = expected_ms.iter().map(|ms| Duration::from_millis(*ms));
    assert_eq!(waited, expected.collect::<Vec<_>>());
    assert!(wait.is_none_or(|wait| wait.unstarted == 1 && wait.task == task(1, 0, 0)));
}

/// After an outage of the main stream all reports are old, whether runs have started or not.
#[test]
fn reports_that_could_not_be_read_count_for_nothing() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    fleet.place();
    fleet.now = fleet.now + Duration::from_secs(5);
    let reading_since = Moment::ZERO + Duration::from_secs(4);
    fleet
        .scheduler
        .update_suspicions(fleet.now, reading_since, LEASE);
    assert_eq!(wait_of(&mut fleet), None);
}

/// The time of runs of the job that have ended doesn't count as a wait.
#[test]
fn a_job_waits_since_the_end_of_its_last_run() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(2)]));
    let placed = fleet.place();
    fleet.now = fleet.now + Duration::from_secs(3);
    fleet.fold(ended(placed[0].task, 1, EndCause::Done, "a"));
    fleet.fold(reporting("a", &placed[1..]));
    fleet.place();
    fleet.now = fleet.now + Duration::from_millis(1_100);
    let wait = wait_of(&mut fleet).expect("the job waits");
    assert_eq!(wait.waited, Duration::from_millis(1_100));
}

/// The next run was bound to the same worker, beside others with room (277 of 1,255 on a day with late commands).
#[test]
fn a_worker_with_unstarted_runs_comes_after_others() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    let on_b = StepSpec {
        label: "r-b".to_owned(),
        ..step(3)
    };
    fleet.fold(submitted(1, vec![on_b]));
    fleet.place();
    fleet.fold(submitted(2, vec![step(1)]));
    let placed = fleet.place();
    assert_eq!(placed[0].worker, "a");
    fleet.fold(reporting("a", &placed));
    fleet.fold(submitted(3, vec![step(2)]));
    let workers = fleet.place().into_iter().map(|placed| placed.worker);
    assert_eq!(workers.collect::<Vec<_>>(), ["b", "a"]);
}

/// A run that was returned unstarted began the wait of its job anew.
#[rstest]
#[case::refused(EndCause::Refused)]
#[case::no_room(EndCause::NoRoom)]
fn a_run_that_is_returned_does_not_end_a_wait(#[case] cause: EndCause) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(2)]));
    let placed = fleet.place();
    fleet.now = fleet.now + Duration::from_millis(1_500);
    fleet.fold(ended(placed[0].task, 1, cause, "a"));
    fleet.fold(reporting("a", &placed[1..]));
    let wait = wait_of(&mut fleet).expect("the job waits");
    assert_eq!(wait.waited, Duration::from_millis(1_500));
}

//! Tests of best-effort jobs that wait while most of the capacity is free.

use std::time::Duration;

use agate_core::{JobId, Resources};
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, StepSpec, TaskKey, WorkerReport, WorkerState};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::place::{best_effort_step, report_with_interference, serving_step};
use crate::support::{cancelled, ended, step, submitted, task};

const ROUND: Duration = Duration::from_millis(100);

pub(crate) fn large(name: &str, memory_mib: u32) -> WorkerReport {
    WorkerReport {
        capacity: Resources::new(8_000, memory_mib, 0),
        ..report_with_interference(name, 900, 300)
    }
}

/// Returns two workers that serve, and whose processors best-effort tasks of another image use.
pub(crate) fn busy_fleet(memory_mib: u32) -> Fleet {
    serving_fleet([Resources::new(2_000, 100, 0); 2], memory_mib)
}

/// Returns two workers that serve with these resources, and whose other processors best-effort tasks of
/// another image use.
pub(crate) fn serving_fleet(serving: [Resources; 2], memory_mib: u32) -> Fleet {
    let reports = ["a", "b"].map(|name| large(name, memory_mib));
    let mut fleet = Fleet::new(&reports);
    let steps = ["a", "b"].into_iter().zip(serving);
    let steps = steps.map(|(worker, demand)| StepSpec {
        tasks: 1,
        label: format!("r-{worker}"),
        demand,
        ..serving_step()
    });
    fleet.fold(submitted(1, steps.collect()));
    fleet.place();
    for report in reports {
        fleet.fold(Record::new(Body::Worker(report)));
    }
    let others = StepSpec {
        tasks: 20,
        image: "other".to_owned(),
        ..best_effort_step()
    };
    fleet.fold(submitted(2, vec![others]));
    assert!(!fleet.place().is_empty());
    fleet
}

/// Lets `rounds` rounds pass and returns the tasks of jobs from the third one on that they bind, by round.
fn placed(fleet: &mut Fleet, rounds: usize) -> Vec<(usize, TaskKey)> {
    let mut found = Vec::new();
    for round in 0..rounds {
        let placed = fleet.place().into_iter();
        let later = placed.filter(|placed| placed.task.job.0 >= 3);
        found.extend(later.map(|placed| (round, placed.task)));
        fleet.now = fleet.now + ROUND;
    }
    found
}

/// With short tasks, a job that waits anew before each of them hardly ever runs (kra-pricing-grown, long-three).
#[test]
fn a_starved_job_waits_no_further_for_its_next_task() {
    let mut fleet = busy_fleet(8_000);
    let step = StepSpec {
        tasks: 3,
        ..best_effort_step()
    };
    fleet.fold(submitted(3, vec![step]));
    let first = placed(&mut fleet, 30);
    let [(round, started)] = first[..] else {
        panic!("one task of the job runs: {first:?}");
    };
    assert!(round >= 20, "it has had time to find a better worker");
    let mut orders = fleet.newest_orders().into_iter();
    let order = orders.find(|order| order.task == started);
    let worker = order.expect("it is ordered").incarnation.name;
    fleet.fold(ended(started, 1, EndCause::Done, &worker));
    assert_eq!(placed(&mut fleet, 5).len(), 1);
}

/// All waiting jobs at once would leave nothing to those that are served, where the capacity is in use.
#[rstest]
#[case::half_used(400, 0)]
#[case::mostly_free(8_000, 3)]
fn starved_jobs_run_while_most_of_the_capacity_is_free(
    #[case] memory_mib: u32,
    #[case] expected: usize,
) {
    let mut fleet = busy_fleet(memory_mib);
    for job in 3..6 {
        fleet.fold(submitted(job, vec![best_effort_step()]));
    }
    assert_eq!(placed(&mut fleet, 40).len(), expected);
}

/// Jobs that waited longest would take the room of those that are served, though it would suffice.
#[rstest]
#[case::mostly_free(Resources::new(3_500, 3_000, 0), 3)]
#[case::processors_half_used(Resources::new(5_000, 3_000, 0), 0)]
#[case::memory_half_used(Resources::new(3_500, 4_500, 0), 0)]
fn starved_jobs_wait_where_half_is_used_but_there_is_room(
    #[case] serving: Resources,
    #[case] expected: usize,
) {
    let mut fleet = serving_fleet([serving; 2], 8_000);
    for job in 3..6 {
        fleet.fold(submitted(job, vec![best_effort_step()]));
    }
    assert_eq!(placed(&mut fleet, 40).len(), expected);
}

/// What is in use on a worker that takes no orders still counts, and so does its capacity.
#[rstest]
#[case::out_of_service_and_used([7_000, 2_000], 0)]
#[case::out_of_service_and_free([1_000, 5_000], 3)]
fn workers_out_of_service_count_for_starved_jobs(
    #[case] serving: [u32; 2],
    #[case] expected: usize,
) {
    let serving = serving.map(|millicores| Resources::new(millicores, 100, 0));
    let mut fleet = serving_fleet(serving, 8_000);
    fleet.fold(Record::new(Body::Worker(WorkerReport {
        unreachable: true,
        ..large("a", 8_000)
    })));
    for job in 3..6 {
        fleet.fold(submitted(job, vec![best_effort_step()]));
    }
    assert_eq!(placed(&mut fleet, 40).len(), expected);
}

/// What a worker had that has left would count as free.
#[test]
fn workers_that_have_left_do_not_count_for_starved_jobs() {
    let mut fleet = serving_fleet([Resources::new(5_000, 100, 0); 2], 8_000);
    let gone = WorkerReport {
        state: WorkerState::Gone,
        ..large("c", 8_000)
    };
    fleet.fold(Record::new(Body::Worker(gone)));
    fleet.fold(submitted(3, vec![best_effort_step()]));
    assert_eq!(placed(&mut fleet, 40), []);
}

/// A job with a single task waits for as long as others come, once that task may fail only once more.
#[test]
fn the_last_attempt_of_a_starved_job_runs_where_others_use_the_processors() {
    let mut fleet = busy_fleet(8_000);
    fleet.fold(submitted(3, vec![best_effort_step()]));
    fleet.fold(ended(task(3, 0, 0), 1, EndCause::Failed, "z"));
    let progress = &fleet.table.job(JobId(3)).expect("it is open").progress;
    assert_eq!(progress[0][0].tasks[0].failures, 1);
    assert_eq!(placed(&mut fleet, 30).len(), 1);
}

/// A starved job ignores processors of best-effort tasks only, and no other reason for which a task may not run.
#[test]
fn a_starved_job_starts_on_no_worker_that_is_out_of_service() {
    let mut fleet = busy_fleet(8_000);
    fleet.fold(submitted(3, vec![best_effort_step()]));
    for name in ["a", "b"] {
        fleet.fold(Record::new(Body::Worker(WorkerReport {
            unreachable: true,
            ..large(name, 8_000)
        })));
    }
    assert_eq!(placed(&mut fleet, 40), []);
}

/// Room for long-running tasks that come and go one after another was kept from a starved job for as long as they did.
#[test]
fn a_starved_job_does_not_wait_for_a_series_of_reservations() {
    let half = Resources::new(3_500, 3_500, 0);
    let mut fleet = Fleet::new(&["a", "b"].map(|name| large(name, 8_000)));
    let holders = ["a", "b"].map(|worker| StepSpec {
        label: format!("r-{worker}"),
        demand: half,
        ..step(1)
    });
    fleet.fold(submitted(1, holders.to_vec()));
    assert_eq!(fleet.place().len(), 2);
    fleet.fold(submitted(3, vec![step(1)]));
    let waiting = StepSpec {
        long_running: true,
        demand: Resources::new(7_500, 7_500, 0),
        ..step(2)
    };
    for round in 0..=30_u64 {
        if round.is_multiple_of(10) {
            fleet.fold(submitted(10 + round, vec![waiting.clone()]));
            fleet.fold(cancelled(round));
        }
        let placed = fleet.place();
        if placed.iter().any(|placed| placed.task.job.0 == 3) {
            return;
        }
        fleet.now = fleet.now + ROUND;
    }
    panic!("not placed within 3 s");
}

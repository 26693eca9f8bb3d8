//! Tests of the reports on long-running tasks that find no worker.

use std::time::Duration;

use agate_core::Resources;
use agate_jobs::plan::LongWait;
use agate_jobs::record::Body;
use agate_jobs::{AgentState, Record, StepSpec, WorkerReport};

use crate::fleet::Fleet;
use crate::support::{report, step, submitted, task};

fn long_running(tasks: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        demand: Resources::new(3_000, 100, 0),
        ..step(tasks)
    }
}

fn wait_after(fleet: &mut Fleet, time: Duration) -> Option<LongWait> {
    fleet.place();
    fleet.now = fleet.now + time;
    fleet.place();
    fleet.scheduler.take_long_wait(&fleet.table, fleet.now)
}

#[test]
fn the_longest_wait_is_reported_with_what_the_workers_offer() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(3)]));
    let wait = wait_after(&mut fleet, Duration::from_millis(1_500));
    let expected = LongWait {
        task: task(1, 0, 1),
        waited: Duration::from_millis(1_500),
        waiting: 2,
        demand: Resources::new(3_000, 100, 0),
        workers: 1,
        allowed: 1,
        closest_free: Resources::new(1_000, 900, 0),
        closest_drained: Resources::new(1_000, 900, 0),
        total_free: Resources::new(1_000, 900, 0),
        closest_stopping: Resources::ZERO,
        reserved_on: String::new(),
    };
    assert_eq!(wait, Some(expected));
}

/// The room reserved for the task itself was counted as taken, so that the report named no worker.
#[test]
fn a_wait_is_reported_with_the_worker_that_room_is_reserved_on() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(4)]));
    fleet.place();
    fleet.fold(submitted(2, vec![long_running(1)]));
    let wait = wait_after(&mut fleet, Duration::from_millis(1_500));
    let expected = LongWait {
        task: task(2, 0, 0),
        waited: Duration::from_millis(1_500),
        waiting: 1,
        demand: Resources::new(3_000, 100, 0),
        workers: 1,
        allowed: 1,
        closest_free: Resources::new(0, 600, 0),
        closest_drained: Resources::new(4_000, 1_000, 0),
        total_free: Resources::new(0, 600, 0),
        closest_stopping: Resources::ZERO,
        reserved_on: "a".to_owned(),
    };
    assert_eq!(wait, Some(expected));
}

/// The largest amounts of different workers were reported as if one of them had both.
#[test]
fn a_wait_is_reported_with_the_room_of_a_single_worker() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    let on = |worker: &str, demand| StepSpec {
        label: format!("r-{worker}"),
        demand,
        ..long_running(1)
    };
    let processors = on("a", Resources::new(2_000, 0, 0));
    let memory = on("b", Resources::new(0, 950, 0));
    fleet.fold(submitted(1, vec![processors, memory]));
    fleet.place();
    fleet.fold(submitted(2, vec![long_running(1)]));
    let wait = wait_after(&mut fleet, Duration::from_millis(1_500));
    let wait = wait.expect("the task waits");
    assert_eq!(wait.closest_free, Resources::new(4_000, 50, 0));
    assert_eq!(wait.closest_drained, Resources::new(4_000, 50, 0));
    assert_eq!(wait.total_free, Resources::new(6_000, 1_050, 0));
}

#[test]
fn waits_are_reported_once_a_second() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(2)]));
    assert!(wait_after(&mut fleet, Duration::from_millis(900)).is_none());
    assert!(wait_after(&mut fleet, Duration::from_millis(200)).is_some());
    assert!(wait_after(&mut fleet, Duration::from_millis(900)).is_none());
    assert!(wait_after(&mut fleet, Duration::from_millis(200)).is_some());
}

#[test]
fn a_task_that_is_bound_no_longer_waits() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![long_running(2)]));
    fleet.place();
    assert_eq!(fleet.scheduler.waiting_tasks(), 1);
    fleet.fold(Record::new(Body::Worker(report("b", 1))));
    assert_eq!(fleet.place().len(), 1);
    assert_eq!(fleet.scheduler.waiting_tasks(), 0);
}

/// The log could not tell a lack of room from room on a worker on which nothing is started any more.
#[test]
fn a_wait_is_reported_with_the_room_where_the_agent_stops() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    fleet.place();
    let stopping = WorkerReport {
        agent: AgentState::Stopping,
        ..report("a", 1)
    };
    fleet.fold(Record::new(Body::Worker(stopping)));
    fleet.fold(submitted(2, vec![long_running(1)]));
    let wait = wait_after(&mut fleet, Duration::from_millis(1_500));
    let wait = wait.expect("the task waits");
    assert_eq!(wait.allowed, 0);
    assert_eq!(wait.closest_stopping, Resources::new(3_000, 900, 0));
}

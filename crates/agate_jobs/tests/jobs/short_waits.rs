//! Tests of the reports on short tasks that are ready and not placed, and on steps that place nothing.

use std::time::Duration;

use agate_core::{JobId, Moment, Resources};
use agate_jobs::backlog::BatchOrder;
use agate_jobs::plan::{Load, Pause, Pauses, ShortWait};
use agate_jobs::record::Body;
use agate_jobs::{AgentState, EndCause, Record, StartBlock, StepSpec, WorkerReport};
use rstest::rstest;

use crate::crash::crash_end;
use crate::fleet::Fleet;
use crate::place::{best_effort_step, report_with_interference, serving_step};
use crate::probation::{gang, on_probation};
use crate::support::{cancelled, ended, report, step, submitted, task};
use crate::zones::{loaded, withdraws};

/// Longer than the wait from which on a job is reported.
const LONG: Duration = Duration::from_millis(1_200);

/// Time between two passes over the open jobs.
const PASS_PERIOD: Duration = Duration::from_millis(100);

fn place_next(fleet: &mut Fleet) {
    fleet.now = fleet.now + PASS_PERIOD;
    fleet.place();
}

fn take(fleet: &mut Fleet) -> Option<ShortWait> {
    fleet.place();
    let (table, now) = (&fleet.table, fleet.now);
    fleet.scheduler.take_short_wait(table, now, 1_000)
}

fn take_after(fleet: &mut Fleet, time: Duration) -> Option<ShortWait> {
    place_next(fleet);
    fleet.now = fleet.now + time;
    take(fleet)
}

/// Returns a fleet with a worker of four cores on which `tasks` tasks run.
fn busy_with(tasks: u32) -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(tasks)]));
    fleet.place();
    fleet
}

fn stop_agent(fleet: &mut Fleet, worker: &str) {
    fleet.fold(Record::new(Body::Worker(WorkerReport {
        agent: AgentState::Stopping,
        ..report(worker, 1)
    })));
}

fn out_of_service() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    stop_agent(&mut fleet, "a");
    fleet
}

fn zone_withdrawn() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let zones = loaded(vec![withdraws(1, "north")], 2);
    fleet.scheduler.set_withdrawn_zones(&zones);
    fleet
}

fn closed() -> Fleet {
    let mut fleet = busy_with(2);
    for index in 0..2 {
        fleet.fold(ended(task(1, 0, index), 1, EndCause::Stalled, "a"));
    }
    fleet.fold(cancelled(1));
    fleet
}

fn probation() -> Fleet {
    let mut fleet = on_probation(&["a"]);
    fleet.fold(submitted(2, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet
}

fn reserved() -> Fleet {
    let mut fleet = busy_with(3);
    let long_running = StepSpec {
        long_running: true,
        demand: Resources::new(3_000, 100, 0),
        ..step(1)
    };
    fleet.fold(submitted(2, vec![long_running]));
    fleet
}

/// Returns a fleet in which best-effort tasks use all processors of the worker.
fn filled() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let fills = StepSpec {
        tasks: 4,
        ..best_effort_step()
    };
    fleet.fold(submitted(1, vec![fills]));
    assert_eq!(fleet.place().len(), 4);
    fleet
}

fn slow() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![serving_step()]));
    assert_eq!(fleet.place().len(), 3);
    let report = report_with_interference("a", 900, 300);
    fleet.fold(Record::new(Body::Worker(report)));
    fleet
}

fn starts_blocked() -> Fleet {
    Fleet::new(&[WorkerReport {
        start_block: Some(StartBlock::OrdersStale),
        ..report("a", 1)
    }])
}

fn labelled() -> StepSpec {
    StepSpec {
        label: "gpu".to_owned(),
        ..step(1)
    }
}

/// The log said nothing of short tasks that waited beside room, so that a worker that was closed could
/// not be told from a reservation.
#[rstest]
#[case::out_of_service(out_of_service(), step(1), "out_of_service:1")]
#[case::starts_blocked(starts_blocked(), step(1), "starts_blocked:1")]
#[case::zone_withdrawn(zone_withdrawn(), step(1), "zone_withdrawn:1")]
#[case::closed(closed(), step(1), "closed:1")]
#[case::probation(probation(), step(1), "probation:1")]
#[case::label(busy_with(0), labelled(), "label:1")]
#[case::reserved(reserved(), step(1), "reserved:1")]
#[case::no_room(busy_with(4), step(1), "no_room:1")]
#[case::too_slow(slow(), best_effort_step(), "too_slow:1")]
#[case::busy(filled(), best_effort_step(), "busy:1")]
#[case::too_few_workers(busy_with(1), gang(4), "too_few_workers:1")]
fn a_wait_is_reported_with_the_reason_of_each_worker(
    #[case] mut fleet: Fleet,
    #[case] waits: StepSpec,
    #[case] expected: &str,
) {
    fleet.fold(submitted(9, vec![waits]));
    let wait = take_after(&mut fleet, LONG).expect("the job waits");
    assert_eq!(wait.task, task(9, 0, 0));
    assert_eq!(wait.obstacles.to_string(), expected);
    assert_eq!((wait.workers, wait.unobstructed), (1, 0));
}

/// Returns a fleet in which both tasks of job 1 may have crashed the worker `a`, whose agent stops.
fn fleet_with_suspects() -> Fleet {
    let mut fleet = busy_with(2);
    fleet.now = fleet.now + Duration::from_millis(200);
    for index in 0..2 {
        fleet.fold(crash_end(task(1, 0, index), 1));
    }
    stop_agent(&mut fleet, "a");
    fleet
}

#[test]
fn a_suspect_waits_for_a_worker_without_other_tasks() {
    let mut fleet = busy_with(2);
    fleet.fold(Record::new(Body::Worker(report("b", 1))));
    fleet.fold(submitted(2, vec![step(1)]));
    assert_eq!(fleet.place()[0].worker, "b");
    fleet.now = fleet.now + Duration::from_millis(200);
    for index in 0..2 {
        fleet.fold(crash_end(task(1, 0, index), 1));
    }
    stop_agent(&mut fleet, "a");
    let wait = take_after(&mut fleet, LONG).expect("the suspects wait");
    assert_eq!(wait.task, task(1, 0, 0));
    assert_eq!(wait.obstacles.to_string(), "out_of_service:1,shared:1");
}

#[test]
fn nothing_starts_beside_a_suspect() {
    let mut fleet = fleet_with_suspects();
    fleet.fold(submitted(9, vec![step(1)]));
    place_next(&mut fleet);
    fleet.now = fleet.now + LONG;
    fleet.fold(Record::new(Body::Worker(report("b", 1))));
    let wait = take(&mut fleet).expect("the job waits");
    assert_eq!(wait.task, task(9, 0, 0));
    assert_eq!(wait.obstacles.to_string(), "out_of_service:1,crash_probe:1");
}

#[test]
fn a_wait_is_reported_in_full() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    fleet.scheduler.set_batch_order(BatchOrder::Backlog);
    fleet.fold(submitted(1, vec![step(8)]));
    fleet.place();
    let large = StepSpec {
        demand: Resources::new(4_000, 900, 0),
        ..best_effort_step()
    };
    fleet.fold(submitted(2, vec![large.clone()]));
    fleet.fold(submitted(3, vec![large]));
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    let wait = take_after(&mut fleet, LONG).expect("the job waits");
    assert_eq!(wait.obstacles.to_string(), "no_room:2");
    let standings = fleet.scheduler.standings();
    let expected = ShortWait {
        task: task(2, 0, 0),
        standing: Some(standings[&JobId(2)]),
        waited: LONG,
        waiting: 2,
        unstarted: 0,
        demand: Resources::new(4_000, 900, 0),
        members: 1,
        workers: 2,
        obstacles: wait.obstacles,
        unobstructed: 0,
        load: Load {
            busy: 87,
            counted: 87,
            memory: 35,
            started: 87,
        },
    };
    assert_eq!(wait, expected);
}

#[test]
fn waits_are_reported_once_a_second() {
    let mut fleet = busy_with(4);
    fleet.fold(submitted(2, vec![step(1)]));
    assert!(take_after(&mut fleet, Duration::from_millis(800)).is_none());
    assert!(take_after(&mut fleet, Duration::from_millis(200)).is_some());
    assert!(take_after(&mut fleet, Duration::from_millis(800)).is_none());
    assert!(take_after(&mut fleet, Duration::from_millis(200)).is_some());
}

/// The time of a wait that has ended counted for the next one of the job, if a run ended before the open
/// jobs were compared again.
#[test]
fn a_job_that_is_bound_no_longer_waits() {
    let mut fleet = busy_with(4);
    fleet.fold(submitted(2, vec![step(1)]));
    assert!(take_after(&mut fleet, LONG).is_some());
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    assert_eq!(fleet.place().len(), 1);
    assert_eq!(fleet.scheduler.waiting_jobs(), 0);
    fleet.fold(submitted(3, vec![step(4)]));
    stop_agent(&mut fleet, "a");
    fleet.fold(ended(task(2, 0, 0), 1, EndCause::Failed, "a"));
    place_next(&mut fleet);
    assert_eq!(fleet.scheduler.waiting_jobs(), 2);
    assert!(take_after(&mut fleet, Duration::from_millis(800)).is_none());
}

/// A job that has ended since the last pass hid the next one.
#[test]
fn a_job_that_has_ended_is_not_reported() {
    let mut fleet = busy_with(4);
    fleet.fold(submitted(2, vec![step(1)]));
    fleet.fold(submitted(3, vec![step(1)]));
    place_next(&mut fleet);
    fleet.now = fleet.now + LONG;
    fleet.place();
    fleet.fold(cancelled(2));
    let wait = take(&mut fleet).expect("the other job waits");
    assert_eq!(wait.task, task(3, 0, 0));
}

/// Jobs to which a full round has not come keep the time since when they wait, and new ones don't wait
/// yet. A job that it has bound no longer waits.
#[test]
fn a_full_round_changes_only_what_it_has_bound() {
    let mut fleet = busy_with(4);
    for job in 2..5 {
        fleet.fold(submitted(job, vec![step(1)]));
    }
    place_next(&mut fleet);
    assert_eq!(fleet.scheduler.waiting_jobs(), 3);
    fleet.now = fleet.now + LONG;
    for index in 0..2 {
        fleet.fold(ended(task(1, 0, index), 1, EndCause::Done, "a"));
    }
    fleet.fold(submitted(5, vec![step(1)]));
    let scheduler = &mut fleet.scheduler;
    assert!(
        scheduler
            .place_up_to(0, &fleet.table, fleet.now, 1_000)
            .is_empty()
    );
    assert_eq!(scheduler.waiting_jobs(), 3);
    assert_eq!(
        scheduler
            .place_up_to(1, &fleet.table, fleet.now, 1_000)
            .len(),
        1
    );
    assert_eq!(scheduler.waiting_jobs(), 2);
    let wait = scheduler.take_short_wait(&fleet.table, fleet.now, 1_000);
    let wait = wait.expect("the others wait");
    assert_eq!((wait.task, wait.waited), (task(3, 0, 0), LONG));
    assert_eq!(wait.unobstructed, 1);
}

#[test]
fn jobs_without_ready_or_short_tasks_do_not_wait() {
    let mut fleet = busy_with(4);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    let after = StepSpec {
        after: vec![0],
        ..step(1)
    };
    fleet.fold(submitted(2, vec![long_running, after]));
    place_next(&mut fleet);
    assert_eq!(fleet.scheduler.waiting_jobs(), 0);
    assert_eq!(fleet.scheduler.ready_jobs(&fleet.table, 1_000), 1);
}

/// Each item is the time of a step in milliseconds, why it places nothing, and the duration that it
/// reports.
#[rstest]
#[case::short(&[(0, Some(Pause::HeartbeatOld), None), (900, Some(Pause::HeartbeatOld), None)])]
#[case::once_a_second(&[
    (0, Some(Pause::HeartbeatOld), None),
    (1_000, Some(Pause::HeartbeatOld), Some(1_000)),
    (1_900, Some(Pause::HeartbeatOld), None),
    (2_000, Some(Pause::LogUnread), Some(2_000)),
])]
#[case::interrupted(&[
    (0, Some(Pause::RecordsInFlight), None),
    (900, None, None),
    (1_000, Some(Pause::RecordsInFlight), None),
    (1_900, Some(Pause::RecordsInFlight), None),
    (2_000, Some(Pause::RecordsInFlight), Some(1_000)),
])]
fn a_pause_is_reported_once_it_has_lasted(#[case] steps: &[(u64, Option<Pause>, Option<u64>)]) {
    let mut pauses = Pauses::default();
    for (at_ms, pause, lasted_ms) in steps {
        let now = Moment::ZERO + Duration::from_millis(*at_ms);
        let due = pauses.update(*pause, now);
        let expected = lasted_ms.map(Duration::from_millis);
        assert_eq!(due, pause.zip(expected), "at {at_ms} ms");
    }
}

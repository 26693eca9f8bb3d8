//! The order of long-running tasks that wait for room.

use agate_jobs::record::Body;
use agate_jobs::{EndCause, StepSpec};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::place::placed_jobs;
use crate::support::{cancelled, ended, report, step, submitted, task};

/// A job without an end has no time by which it finishes, so it never gives way because it is late.
/// Otherwise a lost run would wait behind all jobs that were submitted since.
#[test]
fn long_running_tasks_of_earlier_jobs_are_placed_before_those_of_later_ones() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let long_running = StepSpec {
        long_running: true,
        demand: agate_core::Resources::new(4_000, 100, 0),
        ..step(1)
    };
    let wall_ms = 100_000;
    let mut later = submitted(2, vec![long_running.clone()]);
    if let Some(Body::Submitted { at_ms, .. }) = &mut later.body {
        *at_ms = wall_ms;
    }
    fleet.fold(submitted(1, vec![long_running]));
    fleet.fold(later);
    let placed = fleet.scheduler.place(&fleet.table, fleet.now, wall_ms);
    let tasks: Vec<_> = placed.into_iter().map(|placed| placed.task).collect();
    assert_eq!(tasks, [task(1, 0, 0)]);
}

/// Tasks of earlier jobs that are lost one after the other took all room that became free, and a task
/// of a later job waited for as long as they came.
#[rstest]
#[case::of_the_same_priority(0, 2)]
#[case::but_not_of_a_lower_one(1, 1)]
fn the_long_running_task_that_has_waited_longest_is_placed_first(
    #[case] priority: u32,
    #[case] expected: u64,
) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let long_running = |tasks| StepSpec {
        long_running: true,
        demand: agate_core::Resources::new(2_000, 100, 0),
        ..step(tasks)
    };
    fleet.fold(submitted(1, vec![long_running(2)]));
    assert_eq!(fleet.place().len(), 2);
    let mut later = submitted(2, vec![long_running(1)]);
    if let Some(Body::Submitted { policy, .. }) = &mut later.body {
        policy.priority = priority;
    }
    fleet.fold(later);
    assert!(fleet.place().is_empty());
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Lost, "a"));
    assert_eq!(placed_jobs(&mut fleet), [expected]);
}

/// The time for which new tasks leave room to a large one was over before there was a worker on which it
/// only had to wait for short tasks. Tasks that had waited for 2.5 s themselves took such room, so that the
/// largest ones found none while a service was full. One that has waited for long does take it: it stood
/// empty else.
#[rstest]
#[case::new_ones_leave_it(0, &[], &[3])]
#[case::those_that_wait_leave_it(4_900, &[], &[3])]
#[case::those_that_have_waited_for_long_take_it(5_000, &[4], &[])]
fn room_that_short_tasks_are_about_to_leave_is_kept_from(
    #[case] waited_ms: u64,
    #[case] at_once: &[u64],
    #[case] later: &[u64],
) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let long_running = |millicores| StepSpec {
        long_running: true,
        demand: agate_core::Resources::new(millicores, 1, 0),
        ..step(1)
    };
    fleet.fold(submitted(1, vec![long_running(2_000)]));
    fleet.fold(submitted(2, vec![long_running(1_000), step(1)]));
    assert_eq!(fleet.place().len(), 3);
    fleet.fold(submitted(3, vec![long_running(3_000)]));
    assert!(fleet.place().is_empty());
    fleet.now = fleet.now + std::time::Duration::from_secs(3);
    fleet.fold(submitted(4, vec![long_running(2_000)]));
    if waited_ms > 0 {
        assert!(fleet.place().is_empty());
    }
    fleet.now = fleet.now + std::time::Duration::from_millis(waited_ms);
    fleet.fold(cancelled(1));
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Stopped, "a"));
    assert_eq!(placed_jobs(&mut fleet), at_once);
    fleet.fold(ended(task(2, 1, 0), 1, EndCause::Done, "a"));
    assert_eq!(placed_jobs(&mut fleet), later);
}

/// Room that is kept for a task whose way short tasks don't clear was kept from those that waited as well.
#[test]
fn reserved_room_is_left_to_tasks_that_wait_after_a_while() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let long_running = |millicores| StepSpec {
        long_running: true,
        demand: agate_core::Resources::new(millicores, 1, 0),
        ..step(1)
    };
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet.fold(submitted(2, vec![long_running(4_000)]));
    assert!(fleet.place().is_empty());
    fleet.fold(submitted(3, vec![long_running(2_000)]));
    assert!(fleet.place().is_empty());
    fleet.now = fleet.now + std::time::Duration::from_millis(2_499);
    assert!(fleet.place().is_empty());
    fleet.now = fleet.now + std::time::Duration::from_millis(1);
    assert_eq!(placed_jobs(&mut fleet), [3]);
}

/// A short task that ran for long kept a long-running one from a worker, and the room that was reserved
/// for that one kept all other short tasks from nearly idle workers.
#[rstest]
#[case::at_first(1, 2_400, 0)]
#[case::while_most_processors_idle(1, 2_500, 1)]
#[case::not_while_most_are_in_use(3, 60_000, 0)]
fn short_tasks_take_reserved_room(
    #[case] running: u32,
    #[case] waited_ms: u64,
    #[case] expected: usize,
) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(running)]));
    fleet.place();
    let long_running = StepSpec {
        long_running: true,
        demand: agate_core::Resources::new(3_500, 100, 0),
        ..step(1)
    };
    fleet.fold(submitted(2, vec![long_running]));
    fleet.fold(submitted(3, vec![step(1)]));
    assert!(fleet.place().is_empty());
    fleet.now = fleet.now + std::time::Duration::from_millis(waited_ms);
    assert_eq!(fleet.place().len(), expected);
}

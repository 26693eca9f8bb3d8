//! Tests of the moves of serving tasks out of withdrawn zones.

use std::time::Duration;

use agate_core::Resources;
use agate_jobs::plan::ZoneChange;
use agate_jobs::record::Body;
use agate_jobs::zones::ZoneTable;
use agate_jobs::{EndCause, Order, OrderKind, Record, StepSpec, WorkerReport, WorkerState};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{ended, report, step, submitted, task};
use crate::zones::{at, loaded, returns, withdraws};

const READY: Duration = Duration::from_secs(6);
const ALMOST_READY: Duration = Duration::from_millis(5_500);

fn serving(tasks: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        long_running: true,
        max_unavailable,
        ..step(tasks)
    }
}

/// Returns a step of which each worker may run one task.
fn spread(tasks: u32, max_unavailable: u32) -> StepSpec {
    StepSpec {
        per_worker: 1,
        ..serving(tasks, max_unavailable)
    }
}

/// Workers of zone `north` run the steps; workers of zone `south` have joined since.
struct Moving {
    fleet: Fleet,
    zones: ZoneTable,
    south: Vec<WorkerReport>,
}

impl Moving {
    fn new(steps: Vec<StepSpec>, north: &[&str], south: &[&str]) -> Self {
        let north: Vec<_> = north.iter().map(|name| at("north", name)).collect();
        let mut fleet = Fleet::new(&north);
        let zones = loaded(vec![], 1);
        fleet.scheduler.set_withdrawn_zones(&zones);
        for (job, step) in (1..).zip(steps) {
            fleet.fold(submitted(job, vec![step]));
        }
        fleet.place();
        fleet.now = fleet.now + READY;
        let south: Vec<_> = south.iter().map(|name| at("south", name)).collect();
        for report in &south {
            fleet.fold(Record::new(Body::Worker(report.clone())));
        }
        Self {
            fleet,
            zones,
            south,
        }
    }

    fn withdrawn(steps: Vec<StepSpec>, north: &[&str], south: &[&str]) -> Self {
        let mut moving = Self::new(steps, north, south);
        moving.zones.apply_page(vec![withdraws(1, "north")], 2);
        moving
    }

    /// Runs a scheduling round and returns the tasks that it stopped, as job and index.
    fn round(&mut self) -> Vec<(u64, u32)> {
        self.fleet.scheduler.set_withdrawn_zones(&self.zones);
        self.fleet.place();
        let changes = self.fleet.scheduler.take_zone_changes().into_iter();
        changes
            .filter_map(|change| match change {
                ZoneChange::TaskMoves { task, .. } => Some((task.job.0, task.index)),
                _ => None,
            })
            .collect()
    }

    fn rounds_for(&mut self, time: Duration) -> Vec<(u64, u32)> {
        let end = self.fleet.now + time;
        let mut moves = Vec::new();
        while self.fleet.now < end {
            self.fleet.now = self.fleet.now + Duration::from_millis(500);
            moves.extend(self.round());
        }
        moves
    }

    /// Carries out the stops that are open.
    fn end_stopped(&mut self) {
        for order in self.open_stops() {
            let name = order.incarnation.name;
            let end = ended(order.task, order.run, EndCause::Stopped, &name);
            self.fleet.fold(end);
        }
    }

    fn open_stops(&self) -> Vec<Order> {
        let orders = self.fleet.newest_orders().into_iter();
        orders
            .filter(|order| matches!(order.kind, OrderKind::Stop { .. }))
            .collect()
    }

    fn workers_of(&self, job: u64) -> Vec<String> {
        let orders = self.fleet.newest_orders().into_iter();
        let mut names: Vec<String> = orders
            .filter(|order| order.task.job.0 == job)
            .map(|order| order.incarnation.name)
            .collect();
        names.sort();
        names
    }
}

/// A step was stopped as a whole when its moves didn't wait for one another.
#[test]
fn tasks_move_one_after_another() {
    let mut moving = Moving::withdrawn(vec![serving(3, 1)], &["a"], &["b"]);
    for index in 0..3 {
        assert_eq!(moving.round(), [(1, index)]);
        assert_eq!(moving.rounds_for(READY), [], "its end is open");
        moving.end_stopped();
        assert_eq!(moving.rounds_for(READY), [], "it is bound less than 6 s");
        moving.fleet.now = moving.fleet.now + Duration::from_millis(500);
    }
    assert_eq!(moving.workers_of(1), ["b", "b", "b"]);
    assert_eq!(moving.rounds_for(READY), []);
}

/// A step whose limit allows several moves takes one in each round.
#[test]
fn one_task_of_a_step_moves_in_a_round() {
    let mut moving = Moving::withdrawn(vec![serving(4, 3)], &["a"], &["b"]);
    assert_eq!(moving.round(), [(1, 0)]);
    assert_eq!(moving.round(), [(1, 1)]);
    assert_eq!(moving.round(), [(1, 2)]);
    assert_eq!(moving.round(), [], "three are unavailable");
}

#[rstest]
#[case::may_not_miss_any(serving(2, 0), &["b"])]
#[case::not_long_running(StepSpec { max_unavailable: 1, ..step(2) }, &["b"])]
#[case::gang(StepSpec { gang: true, ..serving(2, 1) }, &["b"])]
#[case::no_worker_elsewhere(serving(2, 1), &[])]
#[case::no_labelled_worker_elsewhere(StepSpec { label: "r-a".to_owned(), ..serving(2, 1) }, &["b"])]
fn it_stays(#[case] step: StepSpec, #[case] south: &[&str]) {
    let mut moving = Moving::withdrawn(vec![step], &["a"], south);
    assert_eq!(moving.rounds_for(READY), []);
}

/// Tasks that were stopped for the same room would wait, though they could have gone on.
#[test]
fn room_is_counted_once() {
    let steps = || vec![serving(1, 1), serving(1, 1)];
    let mut moving = Moving::withdrawn(steps(), &["a"], &["b"]);
    moving.fleet.fold(submitted(9, vec![serving(3, 0)]));
    assert_eq!(moving.round(), [(1, 0)], "one core is left");
    assert_eq!(moving.rounds_for(READY), []);
    moving.fleet.fold(submitted(10, vec![step(1)]));
    moving.round();
    assert!(moving.workers_of(10).is_empty(), "the room is held");
    moving.end_stopped();
    moving.round();
    assert_eq!(moving.workers_of(1), ["b"]);
}

/// Whatever takes a task down, a move must not take down another one beyond the limit.
#[rstest]
#[case::failed(|m: &mut Moving| m.fleet.fold(ended(task(1, 0, 2), 1, EndCause::Failed, "c")))]
#[case::draining(|m: &mut Moving| m.report_c(WorkerState::Draining))]
#[case::lapsed(|m: &mut Moving| m.report_c(WorkerState::Lapsed))]
#[case::suspected(Moving::suspect_c)]
#[case::gone(|m: &mut Moving| m.report_c(WorkerState::Gone))]
#[case::bound_a_moment_ago(|m: &mut Moving| {
    m.fleet.fold(ended(task(1, 0, 2), 1, EndCause::Failed, "c"));
    m.zones.apply_page(vec![returns(2, "north")], 3);
    m.round();
    m.zones.apply_page(vec![withdraws(3, "north")], 4);
})]
fn a_task_that_is_down_counts(#[case] goes_down: fn(&mut Moving)) {
    let mut moving = Moving::new(vec![spread(3, 1)], &["a", "b", "c"], &["d", "e"]);
    moving.zones.apply_page(vec![withdraws(1, "north")], 2);
    goes_down(&mut moving);
    assert_eq!(moving.round(), []);
    let mut all_up = Moving::withdrawn(vec![serving(3, 1)], &["a", "b", "c"], &["d"]);
    assert_eq!(all_up.round(), [(1, 0)]);
}

impl Moving {
    fn report_c(&mut self, state: WorkerState) {
        let report = WorkerReport {
            state,
            ..at("north", "c")
        };
        self.fleet.fold(Record::new(Body::Worker(report)));
    }

    /// All workers but `c` report; its silence raises a suspicion.
    fn suspect_c(&mut self) {
        self.fleet.now = self.fleet.now + Duration::from_secs(2);
        for name in ["a", "b"] {
            self.fleet
                .fold(Record::new(Body::Worker(at("north", name))));
        }
        for report in self.south.clone() {
            self.fleet.fold(Record::new(Body::Worker(report)));
        }
        self.fleet.advance(Duration::ZERO);
        assert_eq!(self.fleet.suspicions().len(), 1);
    }
}

/// Many steps that moved at once would take down a large part of a service.
#[test]
fn moves_in_progress_are_limited_over_all_steps() {
    let steps = (0..12).map(|_| serving(1, 2)).collect();
    let mut moving = Moving::withdrawn(steps, &["a", "b", "c"], &["d", "e", "f"]);
    let first: Vec<_> = (1..=8).map(|job| (job, 0)).collect();
    assert_eq!(moving.round(), first);
    moving.end_stopped();
    assert_eq!(moving.rounds_for(ALMOST_READY), []);
    let rest: Vec<_> = (9..=12).map(|job| (job, 0)).collect();
    assert_eq!(moving.rounds_for(Duration::from_secs(1)), rest);
}

/// A new leader doesn't know how long its predecessor's runs have been bound, nor which tasks it has
/// moved.
#[test]
fn a_new_leader_moves_nothing_beyond_the_limit() {
    let steps = (0..9).map(|_| serving(1, 2)).collect();
    let mut moving = Moving::withdrawn(steps, &["a", "b", "c"], &["d", "e", "f"]);
    assert_eq!(moving.round().len(), 8);
    moving.fleet.take_over();
    assert_eq!(moving.round(), []);
    assert_eq!(
        moving.rounds_for(READY * 2),
        [],
        "the stops of the predecessor are still open"
    );
    moving.end_stopped();
    moving.fleet.take_over();
    assert_eq!(moving.rounds_for(READY), [], "bound 5.5 s ago");
    assert_eq!(moving.rounds_for(Duration::from_millis(500)), [(9, 0)]);
}

/// Tasks that wait for capacity since before the takeover blocked all moves.
#[test]
fn a_new_leader_does_not_wait_for_tasks_that_find_no_worker() {
    let only_there = StepSpec {
        label: "r-a".to_owned(),
        demand: Resources::new(500, 100, 0),
        ..serving(8, 1)
    };
    let mut moving = Moving::withdrawn(vec![only_there, serving(1, 1)], &["a", "b"], &["c"]);
    assert_eq!(moving.workers_of(2), ["b"]);
    for index in 0..8 {
        let end = ended(task(1, 0, index), 1, EndCause::Failed, "a");
        moving.fleet.fold(end);
    }
    moving.fleet.take_over();
    assert_eq!(moving.rounds_for(ALMOST_READY), []);
    assert_eq!(moving.rounds_for(Duration::from_millis(500)), [(2, 0)]);
}

/// A step with a limit for each worker stopped more tasks than the only worker elsewhere may run.
#[test]
fn a_worker_is_the_target_of_one_task_if_it_may_run_one() {
    let mut moving = Moving::withdrawn(vec![spread(2, 2)], &["a", "b"], &["c"]);
    assert_eq!(moving.round(), [(1, 0)]);
    assert_eq!(moving.round(), []);
    moving.end_stopped();
    assert_eq!(moving.rounds_for(READY * 2), []);
    assert_eq!(moving.workers_of(1), ["b", "c"]);
}

/// A lapsed worker that reports again runs nothing of its earlier term, before the ends are recorded.
#[test]
fn a_run_of_an_earlier_term_counts_until_its_end_is_recorded() {
    let mut moving = Moving::withdrawn(vec![spread(3, 1)], &["a", "b", "c"], &["d"]);
    let fleet = &mut moving.fleet;
    for (state, term) in [(WorkerState::Lapsed, 0), (WorkerState::Ready, 1)] {
        let mut report = at("north", "c");
        report.state = state;
        report.incarnation.term = term;
        let change = fleet.table.fold(Record::new(Body::Worker(report)));
        fleet.scheduler.apply(&fleet.table, &change, fleet.now);
    }
    assert_eq!(fleet.scheduler.take_effects().len(), 2, "term and lost run");
    assert_eq!(moving.round(), []);
}

/// A restored run may have been bound just before the takeover, so it is not yet available.
#[test]
fn a_new_leader_counts_restored_runs_as_recent() {
    let mut moving = Moving::withdrawn(vec![serving(3, 1)], &["a"], &["b"]);
    assert_eq!(moving.round(), [(1, 0)]);
    moving.end_stopped();
    moving.round();
    moving.fleet.take_over();
    assert_eq!(moving.rounds_for(ALMOST_READY), []);
    assert_eq!(moving.rounds_for(Duration::from_millis(500)), [(1, 1)]);
}

/// Two zones at once: each zone with a limit of its own would take down two tasks of the step, and a
/// task could move from one withdrawn zone to the other.
#[test]
fn tasks_of_two_zones_share_the_limit_of_their_step() {
    let large = StepSpec {
        demand: Resources::new(3_000, 100, 0),
        ..serving(2, 1)
    };
    let mut moving = Moving::withdrawn(vec![large], &["a", "b"], &["c", "d", "e"]);
    for name in ["b", "c"] {
        let west = Record::new(Body::Worker(at("west", name)));
        moving.fleet.fold(west);
    }
    moving.zones.apply_page(vec![withdraws(2, "west")], 3);
    assert_eq!(moving.round(), [(1, 0)]);
    assert_eq!(moving.round(), []);
    moving.end_stopped();
    assert_eq!(moving.rounds_for(READY), [], "bound 5.5 s ago");
    assert_eq!(moving.round(), []);
    assert_eq!(moving.rounds_for(Duration::from_millis(500)), [(1, 1)]);
    moving.end_stopped();
    moving.round();
    assert_eq!(moving.workers_of(1), ["d", "e"]);
    moving.zones.apply_page(vec![withdraws(3, "south")], 4);
    assert_eq!(moving.rounds_for(READY * 2), [], "no zone is left");
}

/// After the return, the tasks that are left stay, and the stopped one starts anywhere.
#[test]
fn a_return_ends_the_moves() {
    let mut moving = Moving::withdrawn(vec![serving(3, 1)], &["a"], &["b"]);
    assert_eq!(moving.round(), [(1, 0)]);
    moving.zones.apply_page(vec![returns(2, "north")], 3);
    moving.round();
    moving.end_stopped();
    assert_eq!(moving.rounds_for(READY * 2), []);
    assert_eq!(moving.workers_of(1).len(), 3);
    moving.zones.apply_page(vec![withdraws(3, "north")], 4);
    assert_eq!(moving.round().len(), 1, "and the next withdrawal moves on");
}

/// Without the setting, zones are never passed to the scheduler.
#[test]
fn nothing_moves_without_withdrawal() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let whole = StepSpec {
        demand: Resources::new(4_000, 100, 0),
        ..serving(1, 1)
    };
    fleet.fold(submitted(1, vec![whole]));
    fleet.place();
    fleet.fold(Record::new(Body::Worker(report("b", 1))));
    fleet.now = fleet.now + READY;
    fleet.place();
    assert_eq!(fleet.issued_orders().len(), 1);
}

/// Returns a short step of one-core tasks that run on one worker only.
fn short_on(worker: &str, tasks: u32) -> StepSpec {
    StepSpec {
        label: format!("r-{worker}"),
        ..step(tasks)
    }
}

/// A task that waits was given the room that a move held, and short tasks took each core that became
/// free where it could have run.
#[test]
fn a_waiting_task_reserves_beside_the_room_held_for_a_move() {
    let three_cores = StepSpec {
        demand: Resources::new(3_000, 100, 0),
        ..serving(1, 1)
    };
    let mut moving = Moving::withdrawn(vec![three_cores], &["a"], &["b", "c"]);
    moving.fleet.fold(submitted(2, vec![short_on("b", 1)]));
    moving.fleet.fold(submitted(3, vec![short_on("c", 3)]));
    assert_eq!(moving.round(), [(1, 0)], "b has room for it");
    let two_cores = StepSpec {
        demand: Resources::new(2_000, 100, 0),
        ..serving(1, 0)
    };
    moving.fleet.fold(submitted(4, vec![two_cores]));
    moving.fleet.fold(submitted(5, vec![short_on("c", 1)]));
    assert!(moving.fleet.place().is_empty(), "the core of c is reserved");
    moving
        .fleet
        .fold(ended(task(3, 0, 0), 1, EndCause::Done, "c"));
    let placed = moving.fleet.place();
    assert_eq!(placed[0].task, task(4, 0, 0));
    assert_eq!(placed.len(), 1);
}

/// A move out of a withdrawn zone waited for a task that waits for short ones to end.
#[test]
fn a_move_does_not_leave_room_to_a_waiting_task() {
    let two_cores = StepSpec {
        demand: Resources::new(2_000, 100, 0),
        ..serving(1, 1)
    };
    let mut moving = Moving::new(vec![two_cores], &["a"], &["b"]);
    moving.fleet.fold(submitted(2, vec![short_on("b", 1)]));
    moving.round();
    let whole_worker = StepSpec {
        demand: Resources::new(4_000, 100, 0),
        ..serving(1, 0)
    };
    moving.fleet.fold(submitted(3, vec![whole_worker]));
    assert!(moving.fleet.place().is_empty());
    moving.zones.apply_page(vec![withdraws(1, "north")], 2);
    assert_eq!(moving.round(), [(1, 0)]);
}

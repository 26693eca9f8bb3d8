//! Tests of the attribution of worker crashes to tasks.

use std::time::Duration;

use agate_jobs::crash::{Attribution, Crash, CrashHistory};
use agate_jobs::plan::Placement;
use agate_jobs::record::Body;
use agate_jobs::{
    EndCause, JobState, JobTable, LossReason, Record, RunEnd, StepSpec, TaskKey, WorkerReport,
    WorkerState,
};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{report, step, submitted, task};

use Attribution::{AtFault, Suspected, Unsuspected};

/// Returns the crash of a worker within `within_ms` of the start of a run, beside `peers` others.
fn crash(address: &str, within_ms: u64, peers: u32) -> Crash {
    Crash {
        address: address.to_owned(),
        ran_ms: within_ms,
        within_ms,
        peers,
        unstable: false,
    }
}

fn lone(address: &str) -> Crash {
    crash(address, 10, 0)
}

fn beside_others(address: &str) -> Crash {
    crash(address, 10, 4)
}

fn lone_on_unstable(address: &str) -> Crash {
    Crash {
        unstable: true,
        ..lone(address)
    }
}

fn late(address: &str) -> Crash {
    crash(address, 1_500, 9)
}

/// Returns a crash that was noticed by a timeout.
fn lone_late(address: &str) -> Crash {
    crash(address, 1_500, 0)
}

fn after_survival(address: &str) -> Crash {
    crash(address, 20_000, 9)
}

/// Tasks that run beside a deadly one, or on workers that crash for another reason, were given up
/// with it.
#[rstest]
#[case::no_crash(vec![], Unsuspected)]
#[case::recent_start(vec![beside_others("a")], Suspected)]
#[case::long_after_the_start(vec![late("a")], Unsuspected)]
#[case::twice_long_after_the_start(vec![late("a"), late("b")], Suspected)]
#[case::two_lone_starts(vec![lone("a"), lone("b")], AtFault)]
#[case::two_lone_starts_on_one_machine(vec![lone("a"), lone("a")], AtFault)]
#[case::beside_others_then_lone(vec![beside_others("a"), lone("a")], AtFault)]
#[case::late_then_lone(vec![late("a"), lone("b")], Suspected)]
#[case::unstable_machine(
    vec![beside_others("a"), lone_on_unstable("a"), lone_on_unstable("a")],
    Suspected
)]
#[case::unstable_machines(
    vec![lone_on_unstable("a"), lone_on_unstable("a"), lone_on_unstable("b")],
    AtFault
)]
#[case::four_beside_others(
    vec![beside_others("a"), late("a"), late("a"), late("b")],
    Suspected
)]
#[case::five_beside_others(vec![beside_others("a"); 5], AtFault)]
#[case::two_lone_starts_noticed_late(vec![lone_late("a"), lone_late("b")], Suspected)]
#[case::three_lone_starts_noticed_late(
    vec![lone_late("a"), lone_late("b"), lone_late("a")],
    AtFault
)]
#[case::survival_clears(
    vec![beside_others("a"), after_survival("a"), lone("b")],
    Suspected
)]
#[case::many_after_survival(vec![after_survival("a"); 9], Unsuspected)]
fn crashes_are_attributed_to_a_task_only_if_it_repeats_them(
    #[case] crashes: Vec<Crash>,
    #[case] expected: Attribution,
) {
    let mut history = CrashHistory::default();
    for (run, crash) in (1..).zip(&crashes) {
        history.record(run, crash);
    }
    assert_eq!(history.attribution(), expected);
}

fn ended(run: u32, cause: EndCause, crash: Option<Crash>) -> Record {
    let is_loss = cause == EndCause::Lost;
    Record::new(Body::Ended(RunEnd {
        task: task(1, 0, 0),
        run,
        cause,
        checkpoint: String::new(),
        worker: "a".to_owned(),
        ran_ms: 1,
        loss: is_loss.then_some(LossReason::Replaced),
        crash,
    }))
}

fn state_after(long_running: bool, ends: Vec<Record>) -> Option<JobState> {
    let mut table = JobTable::default();
    let mut spec = step(1);
    spec.long_running = long_running;
    table.fold(submitted(1, vec![spec]));
    for end in ends {
        table.fold(end);
    }
    table.state(agate_core::JobId(1))
}

/// The leader's end of a run, the agent's and a repeated append of it must count as one crash.
#[rstest]
#[case::finite(false)]
#[case::long_running(true)]
fn a_run_counts_once_whoever_records_its_end_first(#[case] long_running: bool) {
    let agent = |run| ended(run, EndCause::Lost, Some(lone("a")));
    let leader = |run| ended(run, EndCause::Lost, None);
    let once = vec![leader(1), agent(1), agent(1), leader(2), agent(1)];
    assert_eq!(state_after(long_running, once), Some(JobState::Running));
    let twice = vec![leader(1), agent(1), agent(2)];
    assert_eq!(state_after(long_running, twice), Some(JobState::Failed));
}

/// A worker that comes back may list the end of a run under which it had crashed: the crashes were forgotten,
/// and the task went on to crash its workers.
#[rstest]
fn a_listed_end_keeps_the_crash_of_its_run(
    #[values(EndCause::Stopped, EndCause::Stalled)] listed: EndCause,
    #[values(false, true)] listed_first: bool,
) {
    let ends = (1..=2).flat_map(|run| {
        let mut ends = vec![
            ended(run, EndCause::Lost, Some(lone("a"))),
            ended(run, listed, None),
        ];
        if listed_first {
            ends.reverse();
        }
        ends
    });
    assert_eq!(state_after(false, ends.collect()), Some(JobState::Failed));
}

#[test]
fn a_crash_under_a_finished_task_does_not_count() {
    let mut ends = vec![ended(1, EndCause::Done, None)];
    ends.extend((2..9).map(|run| ended(run, EndCause::Lost, Some(lone("a")))));
    assert_eq!(state_after(false, ends), Some(JobState::Completed));
}

/// An end that an agent records must not replace the crash under the same run in the log.
#[test]
fn ends_of_a_run_by_a_crash_and_by_a_loss_have_different_keys() {
    let crashed = ended(1, EndCause::Lost, Some(lone("a")));
    assert_ne!(crashed.key, ended(1, EndCause::Lost, None).key);
    assert_ne!(crashed.key, ended(1, EndCause::Done, None).key);
}

/// Time by which a suspect has survived its start.
const PROBE_TIME: Duration = Duration::from_millis(150);

/// Returns a fleet in which the worker at `a` has crashed under three tasks that started together, and
/// is back under the name `a2`.
fn fleet_after_crash() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(3)]));
    assert_eq!(fleet.place().len(), 3);
    fleet.fold(Record::new(Body::Worker(report("b", 1))));
    fleet.fold(submitted(2, vec![step(1)]));
    assert_eq!(workers_of(&fleet.place()), ["b"]);
    fleet.advance(Duration::from_secs(1));
    for index in 0..3 {
        fleet.fold(crash_end(task(1, 0, index), 1));
    }
    let mut successor = report("a2", 2);
    successor.address = report("a", 1).address;
    fleet.fold(Record::new(Body::Worker(successor)));
    fleet
}

pub(crate) fn crash_end(task: TaskKey, run: u32) -> Record {
    Record::new(Body::Ended(RunEnd {
        task,
        run,
        cause: EndCause::Lost,
        checkpoint: String::new(),
        worker: "a".to_owned(),
        ran_ms: 3,
        loss: Some(LossReason::Replaced),
        crash: Some(beside_others("a:1")),
    }))
}

fn workers_of(placed: &[Placement]) -> Vec<&str> {
    placed.iter().map(|placed| placed.worker.as_str()).collect()
}

/// All tasks that went down with a worker were started again together on its empty successor, which
/// crashed under all of them again.
#[test]
fn suspects_are_started_one_at_a_time_where_nothing_else_runs() {
    let mut fleet = fleet_after_crash();
    for _ in 0..3 {
        assert_eq!(workers_of(&fleet.place()), ["a2"]);
        assert!(fleet.place().is_empty(), "beside an unproven task");
        fleet.advance(PROBE_TIME);
    }
    assert!(fleet.place().is_empty(), "all of them run");
}

#[test]
fn nothing_is_started_beside_a_suspect_that_has_not_survived_its_start() {
    let mut fleet = fleet_after_crash();
    assert_eq!(workers_of(&fleet.place()), ["a2"]);
    let mut large = step(1);
    large.demand = report("b", 1).capacity;
    large.demand.millicores -= 1_000;
    large.demand.memory_mib -= 100;
    fleet.fold(submitted(3, vec![large.clone(), large]));
    assert_eq!(workers_of(&fleet.place()), ["b"], "not beside the suspect");
}

#[test]
fn a_suspect_does_not_wait_for_an_idle_worker_for_long() {
    let mut fleet = fleet_after_crash();
    let mut gone = report("a2", 2);
    gone.state = WorkerState::Gone;
    fleet.fold(Record::new(Body::Worker(gone)));
    assert!(fleet.place().is_empty(), "b runs another job");
    fleet.fold(Record::new(Body::Worker(report("b", 1))));
    fleet.advance(Duration::from_millis(1_500));
    assert_eq!(workers_of(&fleet.place()), ["b"]);
}

/// A new leader restores from the log which tasks are suspects, and starts nothing beside them.
#[test]
fn suspects_are_known_after_a_takeover() {
    let mut fleet = fleet_after_crash();
    assert_eq!(workers_of(&fleet.place()), ["a2"]);
    fleet.take_over();
    assert!(fleet.place().is_empty(), "beside an unproven task");
    fleet.advance(PROBE_TIME);
    assert_eq!(workers_of(&fleet.place()), ["a2"]);
}

#[test]
fn a_long_running_task_that_crashes_its_workers_is_not_started_again() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1), report("c", 1)]);
    let mut serving = step(1);
    serving.long_running = true;
    fleet.fold(submitted(1, vec![serving]));
    for run in 1..=2 {
        assert_eq!(fleet.place().len(), 1, "run {run}");
        let mut end = RunEnd {
            crash: Some(lone(if run == 1 { "a:1" } else { "b:1" })),
            ..end_of(crash_end(task(1, 0, 0), run))
        };
        end.worker = "a".to_owned();
        fleet.fold(Record::new(Body::Ended(end)));
        fleet.advance(PROBE_TIME);
    }
    assert!(fleet.place().is_empty());
    let state = fleet.table.state(agate_core::JobId(1));
    assert_eq!(state, Some(JobState::Failed));
}

fn end_of(record: Record) -> RunEnd {
    let Some(Body::Ended(end)) = record.body else {
        panic!("not an end");
    };
    end
}

#[test]
fn nothing_is_bound_to_a_worker_that_does_not_answer_its_agent() {
    let mut down = report("a", 1);
    down.unreachable = true;
    let mut fleet = Fleet::new(&[down, report("b", 1)]);
    fleet.fold(submitted(1, vec![step(4)]));
    assert_eq!(workers_of(&fleet.place()), ["b"; 4]);
    fleet.fold(submitted(2, vec![step(1)]));
    assert!(fleet.place().is_empty());
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    assert_eq!(workers_of(&fleet.place()), ["a"]);
}

/// A job spread over many workers is late whichever of them crashes.
#[test]
fn tasks_of_a_step_are_placed_together() {
    let large = |name| WorkerReport {
        capacity: agate_core::Resources::new(64_000, 256_000, 0),
        ..report(name, 1)
    };
    let mut fleet = Fleet::new(&[large("a"), large("b"), large("c")]);
    fleet.fold(submitted(1, vec![step(6)]));
    let placed = fleet.place();
    let workers = workers_of(&placed);
    assert_eq!(workers, [workers[0]; 6]);
}

/// Tasks that had run for seconds before two crashes closed each worker to all others for as long, one after
/// the other, so that the last of them and all tasks beside them waited beside room.
#[rstest]
#[case::of_long_runs(2_500, 4, 0)]
#[case::of_prompt_crashes(50, 24, 0)]
#[case::beside_other_tasks(2_500, 2, 1)]
fn ready_tasks_do_not_wait_for_a_series_of_suspects(
    #[case] ran_ms: u64,
    #[case] suspects: u32,
    #[case] running: u32,
) {
    let small = |tasks| StepSpec {
        demand: agate_core::Resources::new(50, 10, 0),
        ..step(tasks)
    };
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(3, vec![small(running)]));
    assert_eq!(fleet.place().len(), running as usize);
    fleet.advance(Duration::from_millis(500));
    fleet.fold(submitted(1, vec![small(suspects)]));
    for index in 0..suspects {
        for run in 1..=2 {
            let crash = Some(Crash {
                peers: suspects - 1,
                ..crash("a:1", ran_ms, 0)
            });
            let end = crash_end(task(1, 0, index), run);
            let end = RunEnd {
                crash,
                ..end_of(end)
            };
            fleet.fold(Record::new(Body::Ended(end)));
        }
    }
    fleet.fold(submitted(2, vec![small(1)]));
    let mut placed = fleet.place().len();
    for _ in 0..30 {
        fleet.advance(Duration::from_millis(100));
        fleet.fold(Record::new(Body::Worker(report("a", 1))));
        placed += fleet.place().len();
    }
    assert_eq!(placed, suspects as usize + 1);
}

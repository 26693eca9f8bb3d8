//! Tests of the attribution of worker crashes to tasks.

use agate_jobs::crash::{Attribution, Crash, CrashHistory};
use agate_jobs::record::Body;
use agate_jobs::{EndCause, JobState, JobTable, LossReason, Record, RunEnd};
use rstest::rstest;

use crate::support::{step, submitted, task};

use Attribution::{AtFault, Suspected, Unsuspected};

/// Returns the crash of a worker within `within_ms` of the start of a run, beside `peers` others.
fn crash(address: &str, within_ms: u64, peers: u32) -> Crash {
    Crash {
        address: address.to_owned(),
        ran_ms: within_ms,
        within_ms,
        peers,
    }
}

fn lone(address: &str) -> Crash {
    crash(address, 10, 0)
}

fn beside_others(address: &str) -> Crash {
    crash(address, 10, 4)
}

fn late(address: &str) -> Crash {
    crash(address, 1_500, 9)
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
#[case::two_lone_starts_on_one_machine(vec![lone("a"), lone("a")], Suspected)]
#[case::three_lone_starts_on_one_machine(vec![lone("a"), lone("a"), lone("a")], AtFault)]
#[case::beside_others_then_lone(vec![beside_others("a"), lone("a")], Suspected)]
#[case::beside_others_then_twice_lone(vec![beside_others("a"), lone("a"), lone("a")], AtFault)]
#[case::three_beside_others(vec![beside_others("a"); 3], Suspected)]
#[case::four_beside_others_on_one_machine(vec![beside_others("a"); 4], Suspected)]
#[case::four_on_two_machines(
    vec![beside_others("a"), late("a"), late("a"), late("b")],
    AtFault
)]
#[case::five_on_one_machine(vec![beside_others("a"); 5], AtFault)]
#[case::survival_clears(
    vec![lone("a"), lone("a"), after_survival("a"), lone("b")],
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
    let repeated = vec![leader(1), agent(1), agent(1), agent(2), leader(2), agent(1)];
    assert_eq!(
        state_after(long_running, repeated),
        Some(JobState::Running),
        "two crashes on one machine"
    );
    let three = vec![leader(1), agent(1), agent(2), agent(3)];
    assert_eq!(state_after(long_running, three), Some(JobState::Failed));
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

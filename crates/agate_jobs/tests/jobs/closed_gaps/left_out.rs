//! Gangs and tasks that may have crashed a worker, which the pass over starved jobs passed over.

use agate_jobs::{EndCause, StepSpec};
use rstest::rstest;

use super::{ROUND, SHORT_ROUNDS, crashed};
use crate::fleet::Fleet;
use crate::place::best_effort_step;
use crate::starved::large;
use crate::support::{ended, report, step, submitted, task};

/// Gangs and tasks that may have crashed a worker waited for as long as others used the processors, with most of the
/// capacity free.
#[rstest]
#[case::gang(StepSpec { gang: true, tasks: 2, ..best_effort_step() }, false)]
#[case::suspect(best_effort_step(), true)]
fn best_effort_tasks_of_each_kind_run_where_others_use_the_processors(
    #[case] step: StepSpec,
    #[case] suspected: bool,
) {
    let mut fleet = Fleet::new(&["a", "b"].map(|name| large(name, 8_000)));
    let others = StepSpec {
        tasks: 40,
        ..best_effort_step()
    };
    fleet.fold(submitted(2, vec![others]));
    assert_eq!(fleet.place().len(), 16);
    fleet.fold(submitted(3, vec![step]));
    if suspected {
        fleet.fold(crashed(task(3, 0, 0)));
    }
    assert!(is_placed_in_time(&mut fleet));
}

/// A gang whose members need all workers waited for as long as one of them was closed at any time.
#[test]
fn a_gang_starts_while_its_workers_are_closed_by_turns() {
    let names = ["a", "b", "c"];
    let mut fleet = Fleet::new(&names.map(|name| report(name, 1)));
    fleet.fold(submitted(1, vec![step(1)]));
    let gang = StepSpec {
        gang: true,
        per_worker: 1,
        ..step(3)
    };
    for (run, round) in (1..).zip(0..80_usize) {
        if round == 30 {
            fleet.fold(submitted(3, vec![gang.clone()]));
        }
        if round.is_multiple_of(9) {
            let worker = names[round / 9 % 3];
            let end = ended(task(1, 0, 0), run, EndCause::Stalled, worker);
            fleet.fold(end);
        }
        let placed = fleet.place();
        if placed.iter().any(|placed| placed.task.job.0 == 3) {
            assert!(round <= 30 + SHORT_ROUNDS, "placed in round {round}");
            return;
        }
        fleet.now = fleet.now + ROUND;
    }
    panic!("not placed within 5 s");
}

/// Lets rounds pass until job 3 has got a task. Returns whether that happens in time.
fn is_placed_in_time(fleet: &mut Fleet) -> bool {
    (0..=SHORT_ROUNDS).any(|_| {
        let placed = fleet.place();
        fleet.now = fleet.now + ROUND;
        placed.iter().any(|placed| placed.task.job.0 == 3)
    })
}

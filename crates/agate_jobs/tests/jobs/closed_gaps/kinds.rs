//! Tasks of each kind, while every worker is closed.

use agate_jobs::StepSpec;
use rstest::rstest;

use super::{Closed, LONG_ROUNDS, SHORT_ROUNDS, crashed, long_running};
use crate::probation::gang;
use crate::support::{step, submitted, task};

/// Neither gangs nor tasks that may have crashed a worker are starved ones, so they wait for as long as all workers
/// are closed.
#[rstest]
#[case::plain(step(1), false, SHORT_ROUNDS)]
#[case::long_running(long_running(), false, LONG_ROUNDS)]
#[case::gang(gang(2), false, SHORT_ROUNDS)]
#[case::suspect(step(1), true, SHORT_ROUNDS)]
#[case::long_running_suspect(long_running(), true, LONG_ROUNDS)]
#[case::long_running_gang(StepSpec { gang: true, ..long_running() }, false, LONG_ROUNDS)]
fn tasks_of_each_kind_start_while_every_worker_is_closed(
    #[case] step: StepSpec,
    #[case] suspected: bool,
    #[case] rounds: usize,
) {
    let mut closed = Closed::new(&["a", "b"]);
    closed.fleet.fold(submitted(1, vec![step]));
    if suspected {
        closed.fleet.fold(crashed(task(1, 0, 0)));
    }
    let placed = closed.play(rounds);
    assert!(placed.contains(&task(1, 0, 0)), "{placed:?}");
}

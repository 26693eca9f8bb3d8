//! Jobs whose first task may not start.

use agate_jobs::{EndCause, StepSpec, TaskKey};
use rstest::rstest;

use super::{Closed, SHORT_ROUNDS, crashed, labelled};
use crate::support::{ended, step, submitted, task};

/// The pass tries one task of a job; another one that is ready waits behind it.
#[rstest]
#[case::last_attempt(vec![step(2)], Some(EndCause::Failed), task(1, 0, 1))]
#[case::suspect(vec![step(2)], Some(EndCause::Lost), task(1, 0, 1))]
#[case::label(vec![labelled(), step(1)], None, task(1, 1, 0))]
fn a_task_starts_whose_job_has_a_first_one_that_may_not(
    #[case] steps: Vec<StepSpec>,
    #[case] first: Option<EndCause>,
    #[case] other: TaskKey,
) {
    let mut closed = Closed::new(&["a", "b"]);
    closed.fleet.fold(submitted(1, steps));
    match first {
        Some(EndCause::Lost) => closed.fleet.fold(crashed(task(1, 0, 0))),
        Some(cause) => closed.fleet.fold(ended(task(1, 0, 0), 1, cause, "z")),
        None => {}
    }
    let placed = closed.play(SHORT_ROUNDS);
    assert!(placed.contains(&other), "{placed:?}");
}

//! Jobs of which a task is bound.

use agate_jobs::{StepSpec, TaskKey};
use rstest::rstest;

use super::{Closed, SHORT_ROUNDS, long_running};
use crate::support::{step, submitted, task};

/// A job with a bound task isn't a waiting one, however long that one runs.
#[rstest]
#[case::long_running(vec![long_running(), step(1)], task(1, 1, 0))]
#[case::short(vec![step(2)], task(1, 0, 1))]
fn a_task_starts_beside_a_running_one_of_its_job(
    #[case] steps: Vec<StepSpec>,
    #[case] other: TaskKey,
) {
    let mut closed = Closed::new(&["a", "b"]);
    closed.fleet.fold(submitted(1, steps));
    let first = closed.fleet.place_up_to(1, 1_000);
    assert_eq!(first[0].task, task(1, 0, 0));
    let placed = closed.play(SHORT_ROUNDS);
    assert!(placed.contains(&other), "{placed:?}");
}

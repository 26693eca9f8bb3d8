//! Tests of how long a best-effort job waits because of the processors that others of its kind use.

use std::time::Duration;

use agate_core::Resources;
use agate_jobs::record::Body;
use agate_jobs::{Record, StepSpec, WorkerReport};

use crate::fleet::Fleet;
use crate::place::{best_effort_step, report_with_interference, serving_step};
use crate::support::{submitted, task};

/// Processors of best-effort tasks count as used, although they count against no capacity, so that a
/// best-effort job waits with most of the room free for as long as others run.
#[test]
fn a_best_effort_job_runs_while_a_quarter_of_the_capacity_is_in_use() {
    let large = |name: &str| WorkerReport {
        capacity: Resources::new(8_000, 8_000, 0),
        ..report_with_interference(name, 900, 300)
    };
    let mut fleet = Fleet::new(&[large("a"), large("b")]);
    let serving = |worker: &str| StepSpec {
        tasks: 1,
        label: format!("r-{worker}"),
        demand: Resources::new(2_000, 100, 0),
        ..serving_step()
    };
    fleet.fold(submitted(1, vec![serving("a"), serving("b")]));
    assert_eq!(fleet.place().len(), 2);
    for name in ["a", "b"] {
        fleet.fold(Record::new(Body::Worker(large(name))));
    }
    let others = StepSpec {
        tasks: 20,
        image: "other".to_owned(),
        ..best_effort_step()
    };
    fleet.fold(submitted(2, vec![others]));
    assert!(!fleet.place().is_empty());
    fleet.fold(submitted(3, vec![best_effort_step()]));
    let mut placed = fleet.place();
    for _ in 0..30 {
        fleet.now = fleet.now + Duration::from_millis(100);
        placed.extend(fleet.place());
    }
    assert!(placed.iter().any(|placed| placed.task == task(3, 0, 0)));
}

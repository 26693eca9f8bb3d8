//! Tests of how long tasks wait because of others that may have crashed a worker.

use std::time::Duration;

use agate_core::Resources;
use agate_jobs::crash::Crash;
use agate_jobs::plan::Placement;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, LossReason, Record, RunEnd, WorkerReport};

use crate::fleet::Fleet;
use crate::support::{report, step, submitted, task};

/// Time within which each task that is ready is placed beside free capacity.
const MAX_WAIT: Duration = Duration::from_secs(3);

/// Number of suspects.
const SUSPECTS: u32 = 20;

fn large(name: &str) -> WorkerReport {
    WorkerReport {
        capacity: Resources::new(64_000, 64_000, 0),
        ..report(name, 1)
    }
}

/// Returns the end of a run by a crash of its worker, 2.5 s after its start.
fn late_crash(placed: &Placement) -> Record {
    Record::new(Body::Ended(RunEnd {
        task: placed.task,
        run: placed.run,
        cause: EndCause::Lost,
        checkpoint: String::new(),
        worker: placed.worker.clone(),
        ran_ms: 2_500,
        loss: Some(LossReason::Restarted),
        crash: Some(Crash {
            address: format!("{}:1", placed.worker),
            ran_ms: 2_500,
            within_ms: 2_500,
            peers: 9,
            unstable: true,
        }),
    }))
}

/// Returns two workers that have crashed twice under the same tasks, 2.5 s after their start.
fn fleet_with_suspects() -> Fleet {
    let mut fleet = Fleet::new(&[large("a"), large("b")]);
    fleet.fold(submitted(1, vec![step(SUSPECTS)]));
    for _ in 0..2 {
        let placed = fleet.place();
        assert_eq!(placed.len(), SUSPECTS as usize);
        for placed in placed {
            fleet.fold(late_crash(&placed));
        }
    }
    fleet
}

/// Returns what is placed within [`MAX_WAIT`] by a round each 100 ms.
fn placed_in_time(fleet: &mut Fleet) -> Vec<Placement> {
    let mut placed = fleet.place();
    let end = fleet.now + MAX_WAIT;
    while fleet.now < end {
        fleet.now = fleet.now + Duration::from_millis(100);
        placed.extend(fleet.place());
    }
    placed
}

/// Each suspect closed a worker until it had survived its start, 2.6 s after late crashes, and the next
/// one came before all other tasks, which waited beside idle workers for 26 s.
#[test]
fn a_task_does_not_wait_for_a_series_of_suspects() {
    let mut fleet = fleet_with_suspects();
    fleet.fold(submitted(2, vec![step(1)]));
    let placed = placed_in_time(&mut fleet);
    assert!(placed.iter().any(|placed| placed.task == task(2, 0, 0)));
}

/// A suspect that had waited for the longest time found all workers closed by other suspects.
#[test]
fn all_suspects_are_placed_in_time() {
    let mut fleet = fleet_with_suspects();
    let placed = placed_in_time(&mut fleet);
    assert_eq!(placed.len(), SUSPECTS as usize);
}

/// Suspects that had waited for long were all bound to one worker in the same round, so that a crash told
/// nothing about any of them.
#[test]
fn suspects_that_have_waited_are_placed_on_different_workers() {
    let mut fleet = fleet_with_suspects();
    let set_unreachable = |fleet: &mut Fleet, unreachable| {
        for name in ["a", "b"] {
            let report = WorkerReport {
                unreachable,
                ..large(name)
            };
            fleet.fold(Record::new(Body::Worker(report)));
        }
    };
    set_unreachable(&mut fleet, true);
    assert!(placed_in_time(&mut fleet).is_empty());
    set_unreachable(&mut fleet, false);
    let placed = fleet.place();
    assert_ne!(placed[0].worker, placed[1].worker);
}

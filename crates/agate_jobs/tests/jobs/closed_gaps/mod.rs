//! Tests of ready tasks that the pass over starved jobs leaves out, and of what it costs others.

mod attempts;
mod beside;
mod burst;
mod first;
mod kinds;
mod left_out;
mod rejected;
mod sound;

use std::time::Duration;

use agate_jobs::crash::Crash;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, LossReason, Record, RunEnd, StepSpec, TaskKey};

use crate::fleet::Fleet;
use crate::support::{ended, report, step, submitted, task};

pub(super) const ROUND: Duration = Duration::from_millis(100);

/// Rounds within which a short task has to run, and a long-running one.
pub(super) const SHORT_ROUNDS: usize = 30;
pub(super) const LONG_ROUNDS: usize = 60;

/// A job that is held by its label, and whose ends stand for those of others.
const CLOSER: u64 = 900;

pub(super) fn long_running() -> StepSpec {
    StepSpec {
        long_running: true,
        ..step(1)
    }
}

pub(super) fn labelled() -> StepSpec {
    StepSpec {
        label: "none".to_owned(),
        ..step(1)
    }
}

/// Returns the end of the first run of a task by a crash of its worker, beside other starts.
pub(super) fn crashed(task: TaskKey) -> Record {
    Record::new(Body::Ended(RunEnd {
        task,
        run: 1,
        cause: EndCause::Lost,
        checkpoint: String::new(),
        worker: "z".to_owned(),
        ran_ms: 10,
        loss: Some(LossReason::Restarted),
        crash: Some(Crash {
            address: "z:1".to_owned(),
            ran_ms: 10,
            within_ms: 10,
            peers: 4,
            unstable: false,
        }),
    }))
}

/// Workers on which other runs stall each second, which closes them again whenever they have opened.
pub(super) struct Closed {
    pub fleet: Fleet,
    names: Vec<&'static str>,
    rounds: u32,
}

impl Closed {
    pub fn new(names: &[&'static str]) -> Self {
        let reports: Vec<_> = names.iter().map(|name| report(name, 1)).collect();
        let mut fleet = Fleet::new(&reports);
        fleet.fold(submitted(CLOSER, vec![labelled()]));
        let names = names.to_vec();
        Self {
            fleet,
            names,
            rounds: 0,
        }
    }

    /// Lets a round pass and returns the tasks that it binds.
    pub fn round(&mut self) -> Vec<TaskKey> {
        if self.rounds.is_multiple_of(10) {
            for (at, name) in (1..).zip(&self.names) {
                let end = ended(
                    task(CLOSER, 0, 0),
                    self.rounds * 10 + at,
                    EndCause::Stalled,
                    name,
                );
                self.fleet.fold(end);
            }
        }
        self.rounds += 1;
        let placed = self.fleet.place().into_iter().map(|placed| placed.task);
        let placed = placed.collect();
        self.fleet.now = self.fleet.now + ROUND;
        placed
    }

    pub fn play(&mut self, rounds: usize) -> Vec<TaskKey> {
        (0..rounds).flat_map(|_| self.round()).collect()
    }
}

//! One seeded workload: machines, urgent load and jobs.

use std::collections::HashMap;
use std::f64::consts::TAU;

use agate_core::{JobId, Resources, TaskId, TeamName};
use agate_place::JobSpec;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::{Display, EnumIter, IntoEnumIterator};

use super::ground_truth::{Batch, Urgent};

/// Length of a run in seconds.
pub(super) const LENGTH_SECS: u64 = 2 * 3_600;

/// Machines, as many as two of today's sites have.
pub(super) const MACHINES: u64 = 20;

/// What each machine has.
pub(super) const CAPACITY: Resources = Resources::new(16_000, 61_440, 0);

/// Jobs; more than any subject finishes in the time.
const JOBS: u64 = 240;

/// Jobs that are there from the start; the others arrive over the first half.
const FIRST_JOBS: u64 = 80;

/// Teams, in the order in which jobs are dealt to them.
pub(super) const TEAMS: [&str; 3] = ["kehilla", "kattegatt", "guests"];

/// How declared sizes relate to true ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum DeclaredSizes {
    /// They are right.
    Right,
    /// They are off by a factor of 3, each way for one half of the jobs.
    Off,
}

/// A seeded workload.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// How declared sizes relate to true ones.
    pub declared: DeclaredSizes,
    /// Seed of everything random.
    pub seed: u64,
}

/// What a task really needs.
#[derive(Debug, Clone, Copy)]
pub(super) struct Task {
    pub(super) class: Batch,
    pub(super) millicores: f64,
    pub(super) memory_mib: f64,
    /// Seconds that it runs if it gets all the processors it needs.
    pub(super) secs: f64,
}

/// A job, when it arrives, and what its tasks really need.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) arrives: u64,
    pub(super) spec: JobSpec,
}

/// Everything that a subject is run against.
#[derive(Debug)]
pub(super) struct Workload {
    pub(super) jobs: Vec<Job>,
    pub(super) tasks: HashMap<TaskId, Task>,
}

impl Scenario {
    pub(super) fn workload(self) -> Workload {
        let mut rng = SmallRng::seed_from_u64(self.seed);
        let mut workload = Workload {
            jobs: Vec::new(),
            tasks: HashMap::new(),
        };
        for id in 0..JOBS {
            let class = deal(id);
            let off = self.off(id, &mut rng);
            let count = rng.random_range(40..120);
            let need = class.need();
            for index in 0..count {
                let job = JobId(id);
                let task = Task {
                    class,
                    millicores: need.millicores * rng.random_range(0.8..1.2),
                    memory_mib: need.memory_mib * rng.random_range(0.8..1.2),
                    secs: need.secs * rng.random_range(0.5..1.5),
                };
                workload.tasks.insert(TaskId { job, index }, task);
            }
            let arrives = if id < FIRST_JOBS {
                0
            } else {
                rng.random_range(0..LENGTH_SECS / 2)
            };
            workload.jobs.push(Job {
                arrives,
                spec: spec(id, class, count, off),
            });
        }
        workload
    }

    fn off(self, id: u64, rng: &mut SmallRng) -> f64 {
        match self.declared {
            DeclaredSizes::Right => 1.1,
            DeclaredSizes::Off if id.is_multiple_of(2) => rng.random_range(2.5..3.0),
            DeclaredSizes::Off => 1.0 / rng.random_range(2.5..3.0),
        }
    }
}

/// Classes take turns in an order that does not follow the parity by which sizes are off.
fn deal(id: u64) -> Batch {
    let classes: Vec<Batch> = Batch::iter().collect();
    let turn = usize::try_from(id / 2).unwrap_or(0);
    classes[turn % classes.len()]
}

fn spec(id: u64, class: Batch, tasks: u32, off: f64) -> JobSpec {
    let need = class.need();
    let turn = usize::try_from(id / 6).unwrap_or(0);
    JobSpec {
        id: JobId(id),
        team: TeamName::new(TEAMS[turn % TEAMS.len()]).expect("the name is valid"),
        class: class.name(),
        tags: Vec::new(),
        declared: Resources::new(
            whole(need.millicores * off),
            whole(need.memory_mib * off),
            0,
        ),
        tasks: std::iter::once(0..tasks).collect(),
    }
}

/// The urgent class of a machine.
pub(super) fn urgent_of(machine: u64) -> Urgent {
    if machine.is_multiple_of(2) {
        Urgent::SeatCheck
    } else {
        Urgent::Quote
    }
}

/// Urgent load of a machine, between 0 and 1: a slow wave with its own phase.
pub(super) fn load_of(machine: u64, secs: u64) -> f64 {
    let phase = machine as f64 / MACHINES as f64;
    let wave = (TAU * (secs as f64 / 3_600.0 + phase)).sin();
    0.45 + 0.3 * wave
}

/// Rounds to a whole unit.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are positive and small"
)]
pub(super) fn whole(amount: f64) -> u32 {
    amount.round() as u32
}

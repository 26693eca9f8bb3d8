//! Seeded workloads: machines, urgent load and jobs.

use std::collections::HashMap;
use std::f64::consts::TAU;

use agate_core::{JobId, Resources, TaskId, TeamName};
use agate_place::JobSpec;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use strum::{Display, EnumIter, IntoEnumIterator};

use super::ground_truth::{BatchClass, UrgentClass};

/// Simulated time in seconds.
pub(super) const DURATION_SECS: u64 = 2 * 3_600;

/// Machines; as many as two current sites have.
pub(super) const MACHINES: u64 = 20;

/// Resources of each machine.
pub(super) const MACHINE_CAPACITY: Resources = Resources::new(16_000, 61_440, 0);

/// Jobs; more than any placer finishes in the simulated time.
const JOBS: u64 = 240;

/// Jobs that arrive at the start; the others arrive during the first half.
const INITIAL_JOBS: u64 = 80;

/// Teams, in the order in which they take turns in submitting jobs.
pub(super) const TEAMS: [&str; 3] = ["kehilla", "kattegatt", "guests"];

/// How declared task sizes relate to true demand.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum DeclaredSizes {
    /// About the true median demand.
    Right,
    /// Up to 3 times too large for half of the jobs and up to 3 times too small for the others.
    Off,
}

/// Parameters of a workload.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// How declared task sizes relate to true demand.
    pub declared: DeclaredSizes,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// True demand of a task.
#[derive(Debug, Clone, Copy)]
pub(super) struct Task {
    pub(super) class: BatchClass,
    pub(super) millicores: f64,
    pub(super) memory_mib: f64,
    /// Run time in seconds with all the processors it needs.
    pub(super) secs: f64,
}

/// A job and its arrival time.
#[derive(Debug)]
pub(super) struct Job {
    pub(super) arrival_secs: u64,
    pub(super) spec: JobSpec,
}

/// Jobs, and the true demand of each task.
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
            let class = class_of(id);
            let factor = self.declared_factor(id, &mut rng);
            let count = rng.random_range(40..120);
            let median = class.median_demand();
            for index in 0..count {
                let job = JobId(id);
                let task = Task {
                    class,
                    millicores: median.millicores * rng.random_range(0.8..1.2),
                    memory_mib: median.memory_mib * rng.random_range(0.8..1.2),
                    secs: median.secs * rng.random_range(0.5..1.5),
                };
                workload.tasks.insert(TaskId { job, index }, task);
            }
            let arrival_secs = if id < INITIAL_JOBS {
                0
            } else {
                rng.random_range(0..DURATION_SECS / 2)
            };
            workload.jobs.push(Job {
                arrival_secs,
                spec: job_spec(id, class, count, factor),
            });
        }
        workload
    }

    fn declared_factor(self, id: u64, rng: &mut SmallRng) -> f64 {
        match self.declared {
            DeclaredSizes::Right => 1.1,
            DeclaredSizes::Off if id.is_multiple_of(2) => rng.random_range(2.5..3.0),
            DeclaredSizes::Off => 1.0 / rng.random_range(2.5..3.0),
        }
    }
}

/// Returns the class of a job. Classes take turns by pairs of jobs, so that they are independent of
/// the parity that decides the direction of a wrong size.
fn class_of(id: u64) -> BatchClass {
    let classes: Vec<BatchClass> = BatchClass::iter().collect();
    let turn = usize::try_from(id / 2).unwrap_or(0);
    classes[turn % classes.len()]
}

fn job_spec(id: u64, class: BatchClass, tasks: u32, factor: f64) -> JobSpec {
    let median = class.median_demand();
    let turn = usize::try_from(id / 6).unwrap_or(0);
    JobSpec {
        id: JobId(id),
        team: TeamName::new(TEAMS[turn % TEAMS.len()]).expect("the name is valid"),
        class: class.name(),
        tags: Vec::new(),
        declared: Resources::new(
            round_u32(median.millicores * factor),
            round_u32(median.memory_mib * factor),
            0,
        ),
        tasks: std::iter::once(0..tasks).collect(),
    }
}

/// Returns the urgent class of a machine.
pub(super) fn urgent_class_of(machine: u64) -> UrgentClass {
    if machine.is_multiple_of(2) {
        UrgentClass::SeatCheck
    } else {
        UrgentClass::Quote
    }
}

/// Returns the urgent load of a machine between 0 and 1: an hourly sine wave with a phase per
/// machine.
pub(super) fn urgent_load(machine: u64, secs: u64) -> f64 {
    let phase = machine as f64 / MACHINES as f64;
    let wave = (TAU * (secs as f64 / 3_600.0 + phase)).sin();
    0.45 + 0.3 * wave
}

/// Rounds to the nearest integer.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "sizes are positive and small"
)]
pub(super) fn round_u32(amount: f64) -> u32 {
    amount.round() as u32
}

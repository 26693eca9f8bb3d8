//! Helpers to build test inputs.

use agate_core::{ClassName, Incarnation, JobId, Moment, Resources, Tag, TeamName};
use agate_place::{JobSpec, Policy, Scheduler, ViewState, WorkerSpec};
use proptest::test_runner::Config;
use rand::SeedableRng;
use rand::rngs::SmallRng;

pub(crate) fn at(secs: u64) -> Moment {
    Moment::from_millis(secs * 1_000)
}

pub(crate) fn rng(seed: u64) -> SmallRng {
    SmallRng::seed_from_u64(seed)
}

pub(crate) fn class(name: &str) -> ClassName {
    ClassName::new(name).unwrap()
}

pub(crate) fn team(name: &str) -> TeamName {
    TeamName::new(name).unwrap()
}

pub(crate) fn tag(name: &str) -> Tag {
    Tag::new(name).unwrap()
}

/// Returns a job of team `kehilla` and class `rebalance`, with one core and 1 GiB per task.
pub(crate) fn job(id: u64, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId(id),
        team: team("kehilla"),
        class: class("rebalance"),
        tags: Vec::new(),
        declared: Resources::new(1_000, 1_024, 0),
        tasks: std::iter::once(0..tasks).collect(),
    }
}

/// Returns a scheduler with `workers` workers of 16 cores and 60 GiB, all known since second 0.
pub(crate) fn scheduler(policy: Policy, workers: u64) -> Scheduler {
    let mut scheduler = Scheduler::new(policy);
    for id in 0..workers {
        join(&mut scheduler, id, Resources::new(16_000, 61_440, 0));
    }
    scheduler.set_view(at(0), ViewState::Complete);
    scheduler
}

pub(crate) fn join(scheduler: &mut Scheduler, id: u64, capacity: Resources) {
    let id = Incarnation::new(id);
    scheduler.join(at(0), WorkerSpec { id, capacity });
}

/// Returns a configuration with this many cases that doesn't save failed cases.
pub(crate) fn cases(cases: u32) -> Config {
    Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    }
}

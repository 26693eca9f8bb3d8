//! Common interface of the policy and the baseline.

use std::time::Duration;

use agate_core::{Incarnation, Moment, Resources, TaskId};
use agate_place::{
    JobSpec, Placement, Policy, RunOutcome, Scheduler, Step, UrgentReading, ViewState, WorkerSpec,
};
use agate_preset::TeamQuota;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use strum::{Display, EnumIter};

use super::first_fit::FirstFit;
use super::ground_truth::UrgentClass;
use super::machine::{EndCause, EndedRun, SAMPLE_LAG_SECS, Sample};
use super::scenario::{MACHINE_CAPACITY, MACHINES, TEAMS, round_u32};

/// Kind of placer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacerKind {
    /// The scheduler of this project, with the default preset.
    Policy,
    /// First fit by declared sizes.
    FirstFit,
}

/// A placer under test.
#[derive(Debug)]
pub(super) enum Placer {
    Policy(Box<Scheduler>, SmallRng),
    FirstFit(FirstFit),
}

impl Placer {
    pub(super) fn new(kind: PlacerKind, seed: u64) -> Self {
        match kind {
            PlacerKind::Policy => Self::policy(seed),
            PlacerKind::FirstFit => {
                let usable_percent = 100 - Policy::default().placement.headroom_percent;
                let limit = Resources::new(
                    MACHINE_CAPACITY.millicores * usable_percent / 100,
                    MACHINE_CAPACITY.memory_mib * usable_percent / 100,
                    0,
                );
                Self::FirstFit(FirstFit::new(MACHINES, limit))
            }
        }
    }

    fn policy(seed: u64) -> Self {
        let mut policy = Policy::default();
        // Two teams have quotas in the ratio 2:1; the third can only borrow.
        for (name, share) in [(TEAMS[0], 2), (TEAMS[1], 1)] {
            let machines = u32::try_from(MACHINES).unwrap_or(u32::MAX) * share / 4;
            let guaranteed = Resources::new(
                MACHINE_CAPACITY.millicores * machines,
                MACHINE_CAPACITY.memory_mib * machines,
                0,
            );
            let quota = TeamQuota {
                guaranteed,
                borrow: true,
            };
            let name = name.parse().expect("the name is valid");
            policy.teams.insert(name, quota);
        }
        let mut scheduler = Scheduler::new(policy);
        for id in 0..MACHINES {
            let id = Incarnation::new(id);
            let capacity = MACHINE_CAPACITY;
            scheduler.join(Moment::ZERO, WorkerSpec { id, capacity });
        }
        scheduler.set_view(Moment::ZERO, ViewState::Complete);
        Self::Policy(Box::new(scheduler), SmallRng::seed_from_u64(seed))
    }

    pub(super) fn push(&mut self, now: Moment, spec: &JobSpec) {
        match self {
            Self::Policy(scheduler, _) => scheduler.push(now, spec),
            Self::FirstFit(baseline) => baseline.push(spec),
        }
    }

    pub(super) fn next(&mut self, now: Moment) -> Option<Placement> {
        match self {
            Self::Policy(scheduler, rng) => loop {
                let placement = scheduler.next(now, rng);
                if placement.is_some() || scheduler.next_wake(now) != Some(now) {
                    return placement;
                }
            },
            Self::FirstFit(baseline) => baseline.next(),
        }
    }

    pub(super) fn started(&mut self, now: Moment, task: TaskId) {
        if let Self::Policy(scheduler, _) = self {
            scheduler.started(now, task);
        }
    }

    pub(super) fn ended(&mut self, now: Moment, ended_run: &EndedRun) {
        let outcome = match ended_run.cause {
            EndCause::Finished => RunOutcome::Finished,
            EndCause::Killed => RunOutcome::Exhausted,
            EndCause::Evicted { .. } => RunOutcome::Evicted,
        };
        match self {
            Self::Policy(scheduler, _) => {
                scheduler.ended(now, ended_run.task, outcome, ended_run.peak);
            }
            Self::FirstFit(baseline) if outcome == RunOutcome::Exhausted => {
                baseline.killed(ended_run.task);
            }
            Self::FirstFit(baseline) => baseline.finished(ended_run.task),
        }
    }

    pub(super) fn observe_sample(
        &mut self,
        now: Moment,
        machine: u64,
        urgent_class: UrgentClass,
        sample: Sample,
    ) {
        let Self::Policy(scheduler, _) = self else {
            return;
        };
        let reading = UrgentReading {
            worker: Incarnation::new(machine),
            class: urgent_class.name(),
            age: Duration::from_secs(SAMPLE_LAG_SECS),
            slowdown_percent: round_u32(sample.slowdown * 100.0),
            load_percent: round_u32(sample.load * 100.0),
        };
        scheduler.observe_urgent(now, &reading);
    }

    pub(super) fn steps(&mut self, now: Moment) -> Vec<Step> {
        match self {
            Self::Policy(scheduler, _) => scheduler.steps(now),
            Self::FirstFit(_) => Vec::new(),
        }
    }

    pub(super) fn given_up_count(&mut self) -> usize {
        match self {
            Self::Policy(scheduler, _) => scheduler.take_given_up().len(),
            Self::FirstFit(_) => 0,
        }
    }
}

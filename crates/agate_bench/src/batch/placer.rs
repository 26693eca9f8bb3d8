//! What is measured: the policy or the baseline, behind the same calls.

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
use super::ground_truth::Urgent;
use super::machine::{Ending, How, LAG_SECS, Reading};
use super::scenario::{CAPACITY, MACHINES, TEAMS, whole};

/// Which subject.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum PlacerKind {
    /// The decisions of this system, under the default preset.
    Policy,
    /// First fit on declared sizes.
    FirstFit,
}

/// A subject.
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
                let left = 100 - Policy::default().placement.headroom_percent;
                let limit = Resources::new(
                    CAPACITY.millicores * left / 100,
                    CAPACITY.memory_mib * left / 100,
                    0,
                );
                Self::FirstFit(FirstFit::new(MACHINES, limit))
            }
        }
    }

    fn policy(seed: u64) -> Self {
        let mut policy = Policy::default();
        // Two teams have quotas of 2 to 1; the third may only borrow.
        for (name, share) in [(TEAMS[0], 2), (TEAMS[1], 1)] {
            let machines = u32::try_from(MACHINES).unwrap_or(u32::MAX) * share / 4;
            let guaranteed = Resources::new(
                CAPACITY.millicores * machines,
                CAPACITY.memory_mib * machines,
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
            let capacity = CAPACITY;
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

    pub(super) fn ended(&mut self, now: Moment, ending: &Ending) {
        let end = match ending.how {
            How::Finished => RunOutcome::Finished,
            How::Killed => RunOutcome::Exhausted,
            How::Evicted { .. } => RunOutcome::Evicted,
        };
        match self {
            Self::Policy(scheduler, _) => {
                scheduler.ended(now, ending.task, end, ending.peak);
            }
            Self::FirstFit(baseline) if end == RunOutcome::Exhausted => {
                baseline.killed(ending.task);
            }
            Self::FirstFit(baseline) => baseline.finished(ending.task),
        }
    }

    pub(super) fn read(&mut self, now: Moment, machine: u64, urgent: Urgent, reading: Reading) {
        let Self::Policy(scheduler, _) = self else {
            return;
        };
        let reading = UrgentReading {
            worker: Incarnation::new(machine),
            class: urgent.name(),
            age: Duration::from_secs(LAG_SECS),
            slowdown_percent: whole(reading.slowdown * 100.0),
            load_percent: whole(reading.load * 100.0),
        };
        scheduler.observe_urgent(now, &reading);
    }

    pub(super) fn steps(&mut self, now: Moment) -> Vec<Step> {
        match self {
            Self::Policy(scheduler, _) => scheduler.steps(now),
            Self::FirstFit(_) => Vec::new(),
        }
    }

    pub(super) fn given_up(&mut self) -> usize {
        match self {
            Self::Policy(scheduler, _) => scheduler.take_given_up().len(),
            Self::FirstFit(_) => 0,
        }
    }
}

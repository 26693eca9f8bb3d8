//! Simulation of one placer under one workload.

use std::collections::{HashMap, HashSet};

use agate_core::{Moment, TaskId, TeamName};
use agate_place::{Placement, Step, StepKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::machine::{EndCause, EndedRun, Machine, RunState};
use super::placer::{Placer, PlacerKind};
use super::scenario::{DURATION_SECS, MACHINES, Scenario, Workload};
use super::stats::Stats;

/// Urgent requests sampled per machine and second.
const SAMPLED_REQUESTS: u32 = 5;

/// Service time of an urgent request on an idle machine before random variation, in microseconds.
const SERVICE_US: f64 = 20_000.0;

struct Simulation {
    workload: Workload,
    machines: Vec<Machine>,
    placer: Placer,
    stats: Stats,
    rng: SmallRng,
    /// Work done by evicted tasks, in seconds.
    checkpoints: HashMap<TaskId, f64>,
    started: HashSet<TaskId>,
    /// Index of the next job to arrive.
    next_job: usize,
}

/// Simulates a scenario with one placer and returns its counts.
pub fn simulate(scenario: Scenario, kind: PlacerKind) -> Stats {
    let mut workload = scenario.workload();
    workload.jobs.sort_by_key(|job| job.arrival_secs);
    let mut simulation = Simulation {
        workload,
        machines: (0..MACHINES).map(Machine::new).collect(),
        placer: Placer::new(kind, scenario.seed),
        stats: Stats::default(),
        rng: SmallRng::seed_from_u64(scenario.seed ^ 1),
        checkpoints: HashMap::new(),
        started: HashSet::new(),
        next_job: 0,
    };
    for now in 0..DURATION_SECS {
        simulation.step(now);
    }
    for team_stats in simulation.stats.teams.values_mut() {
        team_stats.update_gap(DURATION_SECS);
    }
    simulation.stats
}

impl Simulation {
    fn step(&mut self, secs: u64) {
        let now = Moment::from_millis(secs * 1_000);
        self.submit_arrivals(secs, now);
        self.end_runs(secs, now);
        self.sample_machines(secs, now);
        for step in self.placer.steps(now) {
            self.apply_step(secs, step);
        }
        while let Some(placement) = self.placer.next(now) {
            self.start_run(secs, now, &placement);
        }
        self.stats.given_up += self.placer.given_up_count() as u64;
    }

    fn submit_arrivals(&mut self, secs: u64, now: Moment) {
        while let Some(job) = self.workload.jobs.get(self.next_job) {
            if job.arrival_secs > secs {
                break;
            }
            self.placer.push(now, &job.spec);
            let tasks: usize = job.spec.tasks.iter().map(ExactSizeIterator::len).sum();
            let team_stats = self.stats.teams.entry(job.spec.team.clone()).or_default();
            team_stats.record_arrival(secs, tasks as u64);
            self.next_job += 1;
        }
    }

    fn end_runs(&mut self, secs: u64, now: Moment) {
        for index in 0..self.machines.len() {
            for ended_run in self.machines[index].step(secs) {
                self.record_end(&ended_run);
                self.placer.ended(now, &ended_run);
            }
        }
    }

    fn record_end(&mut self, ended_run: &EndedRun) {
        match ended_run.cause {
            EndCause::Finished => {
                let task = self.workload.tasks[&ended_run.task];
                self.stats.finished += 1;
                self.stats.core_secs += task.millicores / 1_000.0 * task.secs;
            }
            EndCause::Killed => self.stats.killed += 1,
            EndCause::Evicted { done_secs } => {
                self.stats.evictions += 1;
                self.checkpoints.insert(ended_run.task, done_secs);
            }
        }
    }

    fn sample_machines(&mut self, secs: u64, now: Moment) {
        for (id, machine) in (0..).zip(&mut self.machines) {
            let sample = machine.sample(secs);
            for _ in 0..SAMPLED_REQUESTS {
                let variation: f64 = self.rng.random_range(0.6..1.6);
                self.stats
                    .record_service(SERVICE_US * variation * sample.slowdown);
            }
            if let Some(delayed) = machine.delayed_sample() {
                self.placer
                    .observe_sample(now, id, machine.urgent_class(), delayed);
            }
        }
    }

    fn start_run(&mut self, secs: u64, now: Moment, placement: &Placement) {
        let id = placement.task;
        let task = self.workload.tasks[&id];
        let done_secs = self.checkpoints.get(&id).copied().unwrap_or(0.0);
        let machine = &mut self.machines[usize::try_from(placement.worker.get()).unwrap_or(0)];
        if !machine.start(id, task, placement.demand, done_secs) {
            self.stats.overcommit += 1;
        }
        self.placer.started(now, id);
        if self.started.insert(id) {
            self.record_first_start(secs, id);
        }
    }

    fn record_first_start(&mut self, secs: u64, id: TaskId) {
        let mut jobs = self.workload.jobs.iter();
        let Some(job) = jobs.find(|job| job.spec.id == id.job) else {
            return;
        };
        let team: &TeamName = &job.spec.team;
        if let Some(team_stats) = self.stats.teams.get_mut(team) {
            team_stats.record_start(secs, secs - job.arrival_secs);
        }
    }

    fn apply_step(&mut self, secs: u64, step: Step) {
        let machine = &mut self.machines[usize::try_from(step.worker.get()).unwrap_or(0)];
        match step.kind {
            StepKind::Throttle => {
                self.stats.throttles += 1;
                machine.set_state(step.task, RunState::Throttled);
            }
            StepKind::Release => machine.set_state(step.task, RunState::Running),
            StepKind::Evict | StepKind::Stop => machine.evict(step.task, secs),
        }
    }
}

//! Runs one subject against one workload.

use std::collections::{HashMap, HashSet};

use agate_core::{Moment, TaskId, TeamName};
use agate_place::{Placement, Step, StepKind};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::machine::{Ending, How, Machine, State};
use super::placer::{Placer, PlacerKind};
use super::scenario::{LENGTH_SECS, MACHINES, Scenario, Workload};
use super::stats::Stats;

/// Urgent requests sampled on each machine in a second.
const REQUESTS: u32 = 5;

/// Middle of the service time of an urgent request on an idle machine, in microseconds.
const SERVICE_US: f64 = 20_000.0;

struct Simulation {
    workload: Workload,
    machines: Vec<Machine>,
    placer: Placer,
    stats: Stats,
    rng: SmallRng,
    /// Work that evicted tasks have done.
    saved: HashMap<TaskId, f64>,
    started: HashSet<TaskId>,
    arrived: usize,
}

/// Runs a subject to the end of a scenario.
pub fn simulate(scenario: Scenario, kind: PlacerKind) -> Stats {
    let mut workload = scenario.workload();
    workload.jobs.sort_by_key(|job| job.arrives);
    let mut simulation = Simulation {
        workload,
        machines: (0..MACHINES).map(Machine::new).collect(),
        placer: Placer::new(kind, scenario.seed),
        stats: Stats::default(),
        rng: SmallRng::seed_from_u64(scenario.seed ^ 1),
        saved: HashMap::new(),
        started: HashSet::new(),
        arrived: 0,
    };
    for now in 0..LENGTH_SECS {
        simulation.step(now);
    }
    for waiting in simulation.stats.teams.values_mut() {
        waiting.close_gap(LENGTH_SECS);
    }
    simulation.stats
}

impl Simulation {
    fn step(&mut self, secs: u64) {
        let now = Moment::from_millis(secs * 1_000);
        self.arrive(secs, now);
        self.end(secs, now);
        self.measure(secs, now);
        for step in self.placer.steps(now) {
            self.apply(secs, step);
        }
        while let Some(placement) = self.placer.next(now) {
            self.start(secs, now, &placement);
        }
        self.stats.given_up += self.placer.given_up() as u64;
    }

    fn arrive(&mut self, secs: u64, now: Moment) {
        while let Some(job) = self.workload.jobs.get(self.arrived) {
            if job.arrives > secs {
                break;
            }
            self.placer.push(now, &job.spec);
            let tasks: usize = job.spec.tasks.iter().map(ExactSizeIterator::len).sum();
            let waiting = self.stats.teams.entry(job.spec.team.clone()).or_default();
            waiting.arrive(secs, tasks as u64);
            self.arrived += 1;
        }
    }

    fn end(&mut self, secs: u64, now: Moment) {
        for index in 0..self.machines.len() {
            for ending in self.machines[index].step(secs) {
                self.count(&ending);
                self.placer.ended(now, &ending);
            }
        }
    }

    fn count(&mut self, ending: &Ending) {
        match ending.how {
            How::Finished => {
                let task = self.workload.tasks[&ending.task];
                self.stats.finished += 1;
                self.stats.core_secs += task.millicores / 1_000.0 * task.secs;
            }
            How::Killed => self.stats.killed += 1,
            How::Evicted { done } => {
                self.stats.evictions += 1;
                self.saved.insert(ending.task, done);
            }
        }
    }

    fn measure(&mut self, secs: u64, now: Moment) {
        for (id, machine) in (0..).zip(&mut self.machines) {
            let reading = machine.measure(secs);
            for _ in 0..REQUESTS {
                let spread: f64 = self.rng.random_range(0.6..1.6);
                self.stats.serve(SERVICE_US * spread * reading.slowdown);
            }
            if let Some(late) = machine.late_reading() {
                self.placer.read(now, id, machine.urgent(), late);
            }
        }
    }

    fn start(&mut self, secs: u64, now: Moment, placement: &Placement) {
        let id = placement.task;
        let task = self.workload.tasks[&id];
        let done = self.saved.get(&id).copied().unwrap_or(0.0);
        let machine = &mut self.machines[usize::try_from(placement.worker.get()).unwrap_or(0)];
        if !machine.start(id, task, placement.demand, done) {
            self.stats.overcommit += 1;
        }
        self.placer.started(now, id);
        if self.started.insert(id) {
            self.count_start(secs, id);
        }
    }

    fn count_start(&mut self, secs: u64, id: TaskId) {
        let mut jobs = self.workload.jobs.iter();
        let Some(job) = jobs.find(|job| job.spec.id == id.job) else {
            return;
        };
        let team: &TeamName = &job.spec.team;
        if let Some(waiting) = self.stats.teams.get_mut(team) {
            waiting.start(secs, secs - job.arrives);
        }
    }

    fn apply(&mut self, secs: u64, step: Step) {
        let machine = &mut self.machines[usize::try_from(step.worker.get()).unwrap_or(0)];
        match step.kind {
            StepKind::Throttle => {
                self.stats.throttles += 1;
                machine.set_state(step.task, State::Throttled);
            }
            StepKind::Release => machine.set_state(step.task, State::Running),
            StepKind::Evict | StepKind::Stop => machine.evict(step.task, secs),
        }
    }
}

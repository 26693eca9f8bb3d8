//! Drives scheduler and workers in small steps of time.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{JobId, Moment};
use agate_jobs::plan::{Effect, Scheduler};
use agate_jobs::{Body, EndCause, JobState, JobTable, Order, OrderKind, Record, RunEnd, TaskKey};
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use super::load::{self, Fate, Load};
use super::scenario::{self, Scenario};
use super::stats::Stats;
use super::worker::{BestEffortRun, Ended, Worker};

/// Length of a step.
const TICK: Duration = Duration::from_millis(50);

/// Time between reports of a worker.
const REPORT_PERIOD: Duration = Duration::from_millis(800);

/// Time between a decision or an end and its effect, two calls to the log.
const LOG_DELAY: Duration = Duration::from_millis(50);

/// Time that a run needs to continue from its checkpoint.
const RESTORE_TIME: Duration = Duration::from_millis(250);

/// Wall-clock time at the start, in milliseconds.
const START_MS: u64 = 1_000;

/// Plays a scenario.
pub fn simulate(scenario: Scenario) -> Stats {
    let mut simulation = Simulation::new(scenario);
    let mut now = Moment::ZERO;
    while now.since(Moment::ZERO) < scenario.duration {
        now = now + TICK;
        simulation.step(now);
    }
    simulation.count_jobs(now);
    simulation.stats
}

struct Simulation {
    scenario: Scenario,
    rng: StdRng,
    table: JobTable,
    scheduler: Scheduler,
    workers: Vec<Worker>,
    /// Index into `workers` by name.
    names: HashMap<String, usize>,
    /// Records that take effect at a time.
    records: Vec<(Moment, Record)>,
    /// Orders that are executed at a time.
    orders: Vec<(Moment, Order)>,
    /// Work left of the tasks that were given back.
    left: HashMap<TaskKey, Duration>,
    /// Run time over estimate of each step, where the estimate is wrong.
    ratios: HashMap<JobId, Vec<f64>>,
    /// When each best-effort job was submitted and finished, and its objective.
    jobs: HashMap<JobId, (Moment, Option<Moment>, Duration)>,
    next_job: u64,
    reported_at: Moment,
    stats: Stats,
}

impl Simulation {
    fn new(scenario: Scenario) -> Self {
        let mut rng = StdRng::seed_from_u64(scenario.seed);
        let workers: Vec<Worker> = (0..scenario.workers)
            .map(|number| Worker::new(number, scenario.seed, scenario.capacity()))
            .collect();
        let names = (0..workers.len())
            .map(|at| (format!("w{at}"), at))
            .collect();
        let serving = scenario.serving_jobs(&mut rng);
        let next_job = serving.len() as u64;
        let mut scheduler = Scheduler::default();
        scheduler.set_batch_order(scenario.order);
        let mut simulation = Self {
            scenario,
            rng,
            table: JobTable::default(),
            scheduler,
            workers,
            names,
            records: Vec::new(),
            orders: Vec::new(),
            left: HashMap::new(),
            ratios: HashMap::new(),
            jobs: HashMap::new(),
            next_job,
            reported_at: Moment::ZERO,
            stats: Stats::default(),
        };
        simulation.report_all(Moment::ZERO);
        for record in serving {
            simulation.records.push((Moment::ZERO, record));
        }
        simulation
    }

    fn step(&mut self, now: Moment) {
        for _ in 0..self.scenario.arrivals(&mut self.rng, now, TICK) {
            self.submit(now);
        }
        self.advance_workers(now);
        if now.since(self.reported_at) >= REPORT_PERIOD {
            self.reported_at = now;
            self.report_all(now);
        }
        self.fold_due(now);
        self.scheduler.place(&self.table, now, wall_ms(now));
        self.apply_effects(now);
        self.execute_due(now);
    }

    fn submit(&mut self, now: Moment) {
        let id = self.next_job;
        self.next_job += 1;
        let (at_ms, rng) = (wall_ms(now), &mut self.rng);
        let record = match self.scenario.load {
            Load::Standard => scenario::best_effort_job(id, at_ms, rng),
            Load::Backlog { .. } => {
                let (record, ratios) = load::backlog_job(id, at_ms, rng);
                self.ratios.insert(JobId(id), ratios);
                record
            }
        };
        if let Some(Body::Submitted { spec, policy, .. }) = &record.body {
            let allowed_ms =
                policy.slack_ms + spec.critical_path_ms() * policy.stretch_milli / 1_000;
            let objective = Duration::from_millis(allowed_ms);
            self.jobs.insert(JobId(id), (now, None, objective));
        }
        self.records.push((now, record));
    }

    fn advance_workers(&mut self, now: Moment) {
        for at in 0..self.workers.len() {
            for ended in self.workers[at].advance(now, TICK, &mut self.stats) {
                let record = self.end(format!("w{at}"), ended, now);
                self.records.push((now + LOG_DELAY, record));
            }
        }
    }

    fn end(&mut self, worker: String, ended: Ended, now: Moment) -> Record {
        let Ended { best_effort, cause } = ended;
        let mut checkpoint = String::new();
        if cause == EndCause::Done {
            self.stats.work += self.whole(best_effort.task);
        }
        if cause == EndCause::Stopped {
            self.stats.given_back += 1;
            self.left
                .insert(best_effort.task, best_effort.left + RESTORE_TIME);
            "saved".clone_into(&mut checkpoint);
        }
        let ran = now.since(best_effort.started_at);
        Record::new(Body::Ended(RunEnd {
            task: best_effort.task,
            run: best_effort.run,
            cause,
            checkpoint,
            worker,
            ran_ms: u64::try_from(ran.as_millis()).unwrap_or(u64::MAX),
            loss: None,
            crash: None,
        }))
    }

    /// Returns the run time of a task at full speed.
    fn whole(&self, task: TaskKey) -> Duration {
        let step = self.table.job(task.job).and_then(|job| job.step(task));
        let estimate_ms = step.map_or(0, |step| step.estimate_ms);
        let ratios = self.ratios.get(&task.job);
        let ratio = ratios.and_then(|ratios| ratios.get(task.step as usize));
        let length = ratio.map_or(1.0, |ratio| {
            ratio * load::length_factor(self.scenario.seed, task)
        });
        Duration::from_millis(estimate_ms).mul_f64(length)
    }

    fn report_all(&mut self, now: Moment) {
        for worker in &self.workers {
            let report = worker.report(self.scenario.knowledge);
            let record = Record::new(Body::Worker(report));
            self.records.push((now + LOG_DELAY, record));
        }
    }

    fn fold_due(&mut self, now: Moment) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.records)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.records = later;
        for (_, record) in due {
            let job = match &record.body {
                Some(Body::Ended(end)) => Some(end.task.job),
                _ => None,
            };
            let change = self.table.fold(record);
            self.scheduler.apply(&self.table, &change, now);
            if let Some(job) = job {
                self.note_finished(job, now);
            }
        }
    }

    fn note_finished(&mut self, job: JobId, now: Moment) {
        if self.table.state(job) != Some(JobState::Completed) {
            return;
        }
        if let Some((_, finished, _)) = self.jobs.get_mut(&job) {
            finished.get_or_insert(now);
        }
    }

    fn apply_effects(&mut self, now: Moment) {
        for effect in self.scheduler.take_effects() {
            let Effect::Order { record, .. } = effect else {
                continue;
            };
            if let Some(Body::Order(order)) = record.body {
                self.orders.push((now + LOG_DELAY, order));
            }
        }
    }

    fn execute_due(&mut self, now: Moment) {
        let (due, later): (Vec<_>, Vec<_>) = std::mem::take(&mut self.orders)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.orders = later;
        for (_, order) in due {
            self.execute(order, now);
        }
    }

    fn execute(&mut self, order: Order, now: Moment) {
        let Some(at) = self.names.get(&order.incarnation.name).copied() else {
            return;
        };
        let fate = self.fate(&order);
        let OrderKind::Start {
            best_effort,
            image,
            estimate_ms,
            interference,
            ..
        } = order.kind
        else {
            return;
        };
        if !best_effort {
            self.workers[at].serve(order.task, image);
            return;
        }
        self.stats.runs += 1;
        let whole = Duration::from_millis(estimate_ms).mul_f64(fate.ratio);
        let left = self.left.remove(&order.task).unwrap_or(whole);
        let started = BestEffortRun {
            task: order.task,
            run: order.run,
            image,
            left,
            fails_at: fate.fails_after.map(|share| left.mul_f64(1.0 - share)),
            percent: 100,
            started_at: now,
        };
        self.workers[at].start(started, &interference, now);
    }

    fn fate(&self, order: &Order) -> Fate {
        let ratios = self.ratios.get(&order.task.job);
        let ratio = ratios.and_then(|ratios| ratios.get(order.task.step as usize));
        ratio.map_or(Fate::AS_ESTIMATED, |ratio| {
            Fate::draw(self.scenario.seed, order, *ratio)
        })
    }

    /// Counts the jobs whose objective has passed.
    fn count_jobs(&mut self, now: Moment) {
        for (submitted, finished, objective) in self.jobs.values() {
            if now.since(*submitted) < *objective {
                continue;
            }
            self.stats.jobs += 1;
            let in_time = finished.is_some_and(|at| at.since(*submitted) <= *objective);
            self.stats.in_time += u32::from(in_time);
            let ended_at = finished.unwrap_or(now);
            self.stats.ends.push(ended_at.since(*submitted));
        }
    }
}

fn wall_ms(now: Moment) -> u64 {
    let passed = now.since(Moment::ZERO).as_millis();
    START_MS + u64::try_from(passed).unwrap_or(u64::MAX - START_MS)
}

//! Fixtures and bounds of the instruction benchmarks of batch work.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{ClassName, Incarnation, JobId, Moment, Resources, Tag, TaskId, TeamName};
use agate_place::queue::{Peek, Queue};
use agate_place::{
    JobSpec, Placement, Policy, RunOutcome, Scheduler, Step, UrgentReading, ViewState, WorkerSpec,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::budget::DecisionBudget;
use super::{Cost, Growth};

/// Benchmarks of batch work.
pub const COSTS: [Cost; 17] = [
    cost("place", "workers_10", DecisionBudget::PLACE),
    cost("place", "workers_1000", DecisionBudget::PLACE),
    cost("place", "workers_21000", DecisionBudget::PLACE),
    cost("end", "workers_10", DecisionBudget::END),
    cost("end", "workers_1000", DecisionBudget::END),
    cost("end", "workers_21000", DecisionBudget::END),
    cost("read", "workers_1000", DecisionBudget::OBSERVE),
    cost("steps", "workers_1000", DecisionBudget::STEPS),
    cost("push", "jobs_1000", DecisionBudget::QUEUE),
    cost("push", "jobs_100000", DecisionBudget::QUEUE),
    cost("take", "jobs_1000", DecisionBudget::QUEUE),
    cost("take", "jobs_100000", DecisionBudget::QUEUE),
    cost("cancel", "jobs_1000", DecisionBudget::QUEUE),
    cost("cancel", "jobs_100000", DecisionBudget::QUEUE),
    cost("withdraw", "jobs_1000", DecisionBudget::QUEUE),
    cost("withdraw", "jobs_100000", DecisionBudget::QUEUE),
    cost("resume", "jobs_100000", DecisionBudget::QUEUE),
];

/// Allowed growth of decisions with more workers or jobs.
pub const GROWTH: [Growth; 6] = [
    growth_bound("place", "workers_10", "workers_21000"),
    growth_bound("end", "workers_10", "workers_21000"),
    growth_bound("push", "jobs_1000", "jobs_100000"),
    growth_bound("take", "jobs_1000", "jobs_100000"),
    growth_bound("cancel", "jobs_1000", "jobs_100000"),
    growth_bound("withdraw", "jobs_1000", "jobs_100000"),
];

const fn cost(function: &'static str, id: &'static str, decision_budget: DecisionBudget) -> Cost {
    Cost {
        function,
        id,
        decision_budget,
    }
}

const fn growth_bound(function: &'static str, small: &'static str, large: &'static str) -> Growth {
    Growth {
        function,
        small,
        large,
        max_factor: 2.0,
    }
}

/// Time of the measured calls.
const NOW: Moment = Moment::from_millis(60_000);

/// Age of a sample of urgent work.
const SAMPLE_AGE: Duration = Duration::from_secs(2);

/// Classes of the batch jobs.
const CLASSES: [&str; 4] = ["rebalance", "rerating", "export", "report"];

/// Runs placed per worker before the measured call.
const RUNS_PER_WORKER: u64 = 6;

/// Largest number of runs placed before the measured call; keeps the setup short.
const MAX_SETUP_RUNS: u64 = 3_000;

/// Runs that end before the measured call, so that it is not the first end of its class.
const WARMUP_ENDS: u64 = 20;

/// Size of an allocation that the allocator does not serve from its bins.
const LARGE_BYTES: usize = 1 << 20;

/// Scheduler of an entry whose workers have runs and urgent work.
#[derive(Debug)]
pub struct SchedulerFixture {
    scheduler: Scheduler,
    placed: Vec<Placement>,
    rng: SmallRng,
}

impl SchedulerFixture {
    /// Creates a scheduler that knows `workers` workers.
    pub fn with_workers(workers: u64) -> Self {
        let mut scheduler = Scheduler::new(Policy::default());
        for id in 0..workers {
            let id = Incarnation::new(id);
            let capacity = Resources::new(16_000, 61_440, 0);
            scheduler.join(Moment::ZERO, WorkerSpec { id, capacity });
        }
        scheduler.set_view(Moment::ZERO, ViewState::Complete);
        for (id, class) in (0..).zip(CLASSES) {
            scheduler.push(Moment::ZERO, &job(id, class, u32::MAX));
        }
        let mut fixture = Self {
            scheduler,
            placed: Vec::new(),
            rng: SmallRng::seed_from_u64(1),
        };
        for _ in 0..(workers * RUNS_PER_WORKER).min(MAX_SETUP_RUNS) {
            fixture.place();
        }
        for _ in 0..WARMUP_ENDS {
            fixture.end();
            fixture.place();
        }
        for id in 0..workers {
            fixture.observe_sample(id, 120);
        }
        fixture
    }

    /// Places a task and records its start.
    ///
    /// # Panics
    ///
    /// If no task is placed, because the benchmark would measure another path.
    pub fn place(&mut self) {
        let placement = self.scheduler.next(NOW, &mut self.rng);
        let placement = placement.expect("a task is placed");
        self.scheduler.started(NOW, placement.task);
        self.placed.push(placement);
    }

    /// Ends the run that was placed last.
    ///
    /// # Panics
    ///
    /// If no run is left.
    pub fn end(&mut self) {
        let placement = self.placed.pop().expect("a run was placed");
        let used = Resources::new(900, 900, 0);
        let (now, task) = (NOW + SAMPLE_AGE, placement.task);
        self.scheduler.ended(now, task, RunOutcome::Finished, used);
    }

    /// Applies a sample of urgent work.
    pub fn observe_sample(&mut self, worker: u64, slowdown_percent: u32) {
        let reading = UrgentReading {
            worker: Incarnation::new(worker),
            class: class("seat-check"),
            age: SAMPLE_AGE,
            slowdown_percent,
            load_percent: 40,
        };
        self.scheduler.observe_urgent(NOW + SAMPLE_AGE, &reading);
    }

    /// Returns the steps against batch work that are due.
    pub fn steps(&mut self) -> Vec<Step> {
        self.scheduler.steps(NOW + SAMPLE_AGE)
    }
}

/// Queue of jobs that share a tag.
#[derive(Debug)]
pub struct QueueFixture {
    queue: Queue,
    shared_tag: Tag,
    next_id: u64,
}

impl QueueFixture {
    /// Creates a queue of `jobs` jobs.
    pub fn with_jobs(jobs: u64) -> Self {
        let mut fixture = Self {
            queue: Queue::new(BTreeMap::new(), Duration::from_mins(5)),
            shared_tag: tag("season"),
            next_id: 0,
        };
        for _ in 0..jobs {
            let spec = fixture.next_spec();
            fixture.push(&spec);
        }
        fixture
    }

    /// Creates a queue of `jobs` jobs that are all parked because their shared tag is withdrawn.
    pub fn with_parked_jobs(jobs: u64) -> Self {
        let mut fixture = Self::with_jobs(jobs);
        fixture.withdraw();
        while fixture.queue.peek(NOW) == Peek::Retry {}
        // A large allocation makes the allocator merge the chunks freed by parking here, not inside
        // the measured call.
        drop(std::hint::black_box(Vec::<u8>::with_capacity(LARGE_BYTES)));
        fixture
    }

    /// Pushes a job.
    pub fn push(&mut self, spec: &JobSpec) {
        self.queue.push(NOW, spec);
        self.next_id += 1;
    }

    /// Returns the next job to push.
    pub fn next_spec(&self) -> JobSpec {
        let class_index = usize::try_from(self.next_id).unwrap_or(0) % CLASSES.len();
        let mut spec = job(self.next_id, CLASSES[class_index], 10);
        spec.tags = vec![self.shared_tag.clone()];
        spec
    }

    /// Creates a queue of `jobs` jobs, and one more job to push.
    pub fn with_next_job(jobs: u64) -> (Self, JobSpec) {
        let fixture = Self::with_jobs(jobs);
        let spec = fixture.next_spec();
        (fixture, spec)
    }

    /// Takes the next task from the queue.
    ///
    /// # Panics
    ///
    /// If no task is ready.
    pub fn take(&mut self) -> TaskId {
        let Peek::Ready(head) = self.queue.peek(NOW) else {
            panic!("no job is ready");
        };
        let task = self.queue.take(NOW, head.key);
        task.expect("the job has a ready task")
    }

    /// Cancels a job in the middle of the queue.
    ///
    /// # Panics
    ///
    /// If the job is unknown.
    pub fn cancel(&mut self) {
        assert!(
            self.queue.cancel(JobId(self.next_id / 2)),
            "the job is unknown"
        );
    }

    /// Withdraws the shared tag.
    pub fn withdraw(&mut self) {
        self.queue.withdraw_tag(&self.shared_tag);
    }

    /// Resumes the shared tag.
    pub fn resume(&mut self) {
        self.queue.resume_tag(&self.shared_tag);
    }
}

fn job(id: u64, name: &str, tasks: u32) -> JobSpec {
    JobSpec {
        id: JobId(id),
        team: TeamName::new(format!("team-{}", id % 8)).expect("the name is valid"),
        class: class(name),
        tags: Vec::new(),
        declared: Resources::new(1_000, 1_024, 0),
        tasks: std::iter::once(0..tasks).collect(),
    }
}

fn class(name: &str) -> ClassName {
    ClassName::new(name).expect("the name is valid")
}

fn tag(name: &str) -> Tag {
    Tag::new(name).expect("the name is valid")
}

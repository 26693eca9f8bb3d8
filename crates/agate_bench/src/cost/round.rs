//! Fixture of a scheduling round on the users' platform under a backlog.

use std::time::Duration;

use agate_core::{JobId, Moment, Resources};
use agate_jobs::pace::{Headroom, Interference};
use agate_jobs::plan::Scheduler;
use agate_jobs::{
    AgentState, BatchOrder, Body, JobSpec, JobTable, QueuePolicy, Record, StepSpec,
    WorkerIncarnation, WorkerReport, WorkerState,
};

/// Number of workers.
const WORKERS: u32 = 67;

/// Number of serving and best-effort images.
const IMAGES: u64 = 12;

/// Time of acceptance of all jobs, in milliseconds.
const AT_MS: u64 = 1_000;

/// A scheduler whose workers are full and which has open jobs left.
#[derive(Debug)]
pub struct RoundFixture {
    table: JobTable,
    scheduler: Scheduler,
    now: Moment,
}

impl RoundFixture {
    /// Creates a scheduler with a number of open best-effort jobs.
    pub fn with_jobs(jobs: u64) -> Self {
        let mut fixture = Self {
            table: JobTable::default(),
            scheduler: Scheduler::default(),
            now: Moment::ZERO,
        };
        fixture.scheduler.set_batch_order(BatchOrder::Backlog);
        for number in 0..WORKERS {
            fixture.fold(Record::new(Body::Worker(worker(number))));
        }
        fixture.fold(serving());
        for id in 0..jobs {
            fixture.fold(best_effort(id));
        }
        fixture.place();
        fixture
    }

    /// Makes a plan and tries to place all open tasks. Returns the number of tasks placed.
    pub fn place(&mut self) -> usize {
        self.now = self.now + Duration::from_millis(200);
        self.scheduler.place(&self.table, self.now, AT_MS).len()
    }

    fn fold(&mut self, record: Record) {
        let change = self.table.fold(record);
        self.scheduler.apply(&self.table, &change, self.now);
    }
}

fn worker(number: u32) -> WorkerReport {
    let serving: Vec<String> = (0..IMAGES).map(|image| format!("serves-{image}")).collect();
    WorkerReport {
        incarnation: WorkerIncarnation {
            name: format!("w{number}"),
            started_ms: 1,
            term: 0,
        },
        state: WorkerState::Ready,
        service: "shared".to_owned(),
        capacity: Resources::new(16_000, 62_500, 0),
        labels: Vec::new(),
        address: format!("w{number}"),
        zone: "zone".to_owned(),
        acked_suspicion: 0,
        cold_ms: 0,
        unreachable: false,
        start_block: None,
        agent: AgentState::Serving,
        heartbeat: 0,
        started_jobs: Vec::new(),
        not_started: Vec::new(),
        headroom: serving
            .iter()
            .map(|image| Headroom {
                serving: image.clone(),
                milli: 300,
            })
            .collect(),
        interference: serving
            .iter()
            .map(|image| Interference::new(image, "fills-0", 0.1))
            .collect(),
    }
}

fn serving() -> Record {
    let steps = (0..IMAGES).map(|image| StepSpec {
        tasks: WORKERS / 3,
        demand: Resources::new(3_000, 9_000, 0),
        long_running: true,
        image: format!("serves-{image}"),
        target_ms: 18,
        ..StepSpec::default()
    });
    submission(u64::MAX, steps.collect())
}

fn best_effort(id: u64) -> Record {
    let steps = (0..2).map(|step| StepSpec {
        tasks: 20,
        demand: Resources::new(1_200 + u32::try_from(id % 13).unwrap_or(0) * 100, 3_000, 0),
        estimate_ms: 1_700,
        after: (0..step).collect(),
        best_effort: true,
        image: format!("fills-{}", id % IMAGES),
        ..StepSpec::default()
    });
    submission(id, steps.collect())
}

fn submission(id: u64, steps: Vec<StepSpec>) -> Record {
    Record::new(Body::Submitted {
        job: JobId(id),
        spec: JobSpec {
            payload: String::new(),
            steps,
            repeat: None,
        },
        policy: QueuePolicy {
            queue: "queue".to_owned(),
            service: "shared".to_owned(),
            priority: 2,
            max_attempts: 3,
            stretch_milli: 2_000,
            slack_ms: 1_000,
        },
        at_ms: AT_MS,
    })
}

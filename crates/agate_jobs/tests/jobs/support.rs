//! Builders of jobs, records and workers.

use agate_core::{JobId, Resources};
use agate_jobs::record::Body;
use agate_jobs::{
    AgentState, EndCause, JobSpec, QueuePolicy, Record, RunEnd, StepSpec, TaskKey,
    WorkerIncarnation, WorkerReport, WorkerState,
};

pub(crate) const SERVICE: &str = "seatbook";

/// Returns a step of `tasks` tasks that each take one core and 100 MiB.
pub(crate) fn step(tasks: u32) -> StepSpec {
    StepSpec {
        tasks,
        demand: Resources::new(1_000, 100, 0),
        estimate_ms: 1_000,
        ..StepSpec::default()
    }
}

pub(crate) fn policy() -> QueuePolicy {
    QueuePolicy {
        queue: "moves".to_owned(),
        service: SERVICE.to_owned(),
        priority: 0,
        max_attempts: 2,
        stretch_milli: 1_500,
        slack_ms: 400,
    }
}

pub(crate) fn submitted(job: u64, steps: Vec<StepSpec>) -> Record {
    Record::new(Body::Submitted {
        job: JobId(job),
        spec: JobSpec {
            payload: "payload".to_owned(),
            steps,
            repeat: None,
        },
        policy: policy(),
        at_ms: 1_000,
    })
}

/// Returns the cancellation of a job of the queue in [`policy`].
pub(crate) fn cancelled(job: u64) -> Record {
    Record::new(Body::Cancelled {
        job: JobId(job),
        queue: policy().queue,
        at_ms: 1_000,
    })
}

pub(crate) fn task(job: u64, step: u32, index: u32) -> TaskKey {
    TaskKey {
        job: JobId(job),
        occurrence: 0,
        step,
        index,
    }
}

pub(crate) fn ended(task: TaskKey, run: u32, cause: EndCause, worker: &str) -> Record {
    Record::new(Body::Ended(RunEnd {
        task,
        run,
        cause,
        checkpoint: String::new(),
        worker: worker.to_owned(),
        ran_ms: 500,
        loss: None,
        crash: None,
    }))
}

/// Returns a report on a worker with four cores and 1,000 MiB.
pub(crate) fn report(name: &str, started_ms: u64) -> WorkerReport {
    WorkerReport {
        incarnation: WorkerIncarnation {
            name: name.to_owned(),
            started_ms,
            term: 0,
        },
        state: WorkerState::Ready,
        service: SERVICE.to_owned(),
        capacity: Resources::new(4_000, 1_000, 0),
        labels: vec!["a".to_owned(), format!("r-{name}")],
        address: format!("{name}:1"),
        zone: "north".to_owned(),
        acked_suspicion: 0,
        headroom: Vec::new(),
        interference: Vec::new(),
        cold_ms: 0,
        unreachable: false,
        start_block: None,
        agent: AgentState::Serving,
        heartbeat: 0,
        started_jobs: Vec::new(),
        not_started: Vec::new(),
    }
}

//! Batch jobs.

use std::net::SocketAddr;

use agate_core::JobId;
use bon::Builder;
use serde::Deserialize;
use serde_json::json;
use standin_worker::Payload;

use crate::client::{Call, Method, call};

/// A job to submit.
#[derive(Debug, Clone, Builder)]
pub struct Submission {
    /// Job id, which makes repeated submissions idempotent.
    pub job: JobId,
    /// Class of the job.
    #[builder(into)]
    pub class: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Declared CPU demand of a task.
    #[builder(default = 1_000)]
    pub millicores: u32,
    /// Declared memory demand of a task.
    #[builder(default = 512)]
    pub memory_mib: u32,
    /// Payload of each task.
    #[builder(default)]
    pub payload: Payload,
}

/// State of a job as reported by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct JobState {
    /// Job id.
    pub job: String,
    /// Phase of the job.
    pub phase: String,
    /// Number of tasks.
    pub tasks: u32,
    /// Number of running tasks.
    pub running: u32,
    /// Number of finished tasks.
    pub finished: u32,
    /// Number of tasks given up after failures.
    pub failed: u32,
    /// Number of tasks that can never run.
    pub impossible: u32,
    /// Number of cancelled tasks.
    pub cancelled: u32,
}

impl JobState {
    /// Returns whether every task has ended.
    pub fn is_over(&self) -> bool {
        self.finished + self.failed + self.impossible + self.cancelled == self.tasks
    }
}

/// Submits a job through the entry at `to`. Returns whether it was accepted.
pub async fn submit(to: SocketAddr, job: &Submission) -> bool {
    let body = json!({
        "job": job.job.to_string(),
        "team": "seats",
        "class": job.class,
        "tasks": job.tasks,
        "resources": {"millicores": job.millicores, "memory_mib": job.memory_mib},
        "payload": serde_json::to_string(&job.payload).unwrap_or_default(),
    });
    let request = Call::builder()
        .to(to)
        .method(Method::Post)
        .path("/v1/jobs")
        .body(body.to_string())
        .build();
    call(request)
        .await
        .is_ok_and(|reply| reply.status.is_success())
}

/// Returns the state of a job from the entry at `to`.
pub async fn job_state(to: SocketAddr, job: JobId) -> Option<JobState> {
    let request = Call::builder()
        .to(to)
        .path(format!("/v1/jobs/{job}"))
        .build();
    call(request).await.ok()?.json()
}

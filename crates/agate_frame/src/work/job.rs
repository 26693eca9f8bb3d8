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
    /// Its id, so that a repeated submission counts once.
    pub job: JobId,
    /// Class.
    #[builder(into)]
    pub class: String,
    /// Tasks.
    pub tasks: u32,
    /// Declared processor time of a task in thousandths of a core.
    #[builder(default = 1_000)]
    pub millicores: u32,
    /// Declared memory of a task in MiB.
    #[builder(default = 512)]
    pub memory_mib: u32,
    /// What each task does.
    #[builder(default)]
    pub payload: Payload,
}

/// State of a job as an entry tells it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct JobState {
    /// Its id.
    pub job: String,
    /// Its phase.
    pub phase: String,
    /// Tasks.
    pub tasks: u32,
    /// Tasks that run.
    pub running: u32,
    /// Tasks that are finished.
    pub finished: u32,
    /// Tasks given up after failures.
    pub failed: u32,
    /// Tasks that can never run.
    pub impossible: u32,
    /// Tasks that were cancelled.
    pub cancelled: u32,
}

impl JobState {
    /// Whether no task is open any more.
    pub fn is_over(&self) -> bool {
        self.finished + self.failed + self.impossible + self.cancelled == self.tasks
    }
}

/// Submits a job through the entry at `to`; answers whether it was accepted.
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

/// Asks the entry at `to` for the state of a job.
pub async fn job_state(to: SocketAddr, job: JobId) -> Option<JobState> {
    let request = Call::builder()
        .to(to)
        .path(format!("/v1/jobs/{job}"))
        .build();
    call(request).await.ok()?.json()
}

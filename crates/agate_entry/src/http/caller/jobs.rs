//! `/v1/jobs`: batch jobs.

use std::sync::Arc;

use agate_core::{Findings, JobId};
use agate_records::{JobCancelled, JobSubmitted};
use agate_state::{Effect, JobView, TaskFailure};
use dropshot::{HttpError, Path, RequestContext, StreamingBody, endpoint};
use http::{HeaderMap, StatusCode};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::job_body;
use crate::entry::Entry;
use crate::http::reply::{self, Reply};
use crate::http::{body, head, ledger};

/// Largest body of a job submission.
const MAX_BODY_BYTES: usize = 128 * 1024;

/// Path parameters.
#[derive(Debug, Deserialize, JsonSchema)]
pub(crate) struct JobPath {
    /// The job id.
    job: String,
}

/// JSON view of a job.
#[derive(Debug, Serialize)]
struct JobReply {
    job: String,
    caller: String,
    class: String,
    phase: String,
    tasks: u32,
    running: u32,
    finished: u32,
    failed: u32,
    impossible: u32,
    cancelled: u32,
    failures: Vec<TaskFailure>,
}

impl From<JobView<'_>> for JobReply {
    fn from(view: JobView<'_>) -> Self {
        Self {
            job: view.job.to_string(),
            caller: view.caller.to_string(),
            class: view.class.to_string(),
            phase: view.phase.to_string(),
            tasks: view.tasks,
            running: view.running,
            finished: view.counts.finished,
            failed: view.counts.failed,
            impossible: view.counts.impossible,
            cancelled: view.counts.cancelled,
            failures: view.failures.to_vec(),
        }
    }
}

/// The open jobs.
#[derive(Debug, Serialize)]
struct JobList {
    jobs: Vec<JobReply>,
}

/// Accepts a job once the log holds it. Resubmitting the same job has no effect.
#[endpoint { method = POST, path = "/v1/jobs" }]
pub(crate) async fn submit_job(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    Ok(submit(entry, context.request.headers(), input).await)
}

/// Lists the open jobs.
#[endpoint { method = GET, path = "/v1/jobs" }]
pub(crate) async fn list_jobs(context: RequestContext<Arc<Entry>>) -> Result<Reply, HttpError> {
    Ok(list(context.context()))
}

/// Shows a job.
#[endpoint { method = GET, path = "/v1/jobs/{job}" }]
pub(crate) async fn show_job(
    context: RequestContext<Arc<Entry>>,
    path: Path<JobPath>,
) -> Result<Reply, HttpError> {
    Ok(show(context.context(), &path.into_inner()))
}

/// Cancels a job: no further task starts, and running tasks are stopped.
#[endpoint { method = DELETE, path = "/v1/jobs/{job}" }]
pub(crate) async fn cancel_job(
    context: RequestContext<Arc<Entry>>,
    path: Path<JobPath>,
) -> Result<Reply, HttpError> {
    Ok(cancel(context.context(), &path.into_inner()).await)
}

/// Parses a submission and writes it to the log.
pub(crate) async fn submit(entry: &Entry, headers: &HeaderMap, input: StreamingBody) -> Reply {
    let mut findings = Findings::new();
    let caller = head::read_caller(headers, &mut findings);
    let received = body::read(&entry.intake, input, MAX_BODY_BYTES, &mut findings).await;
    let received = match received {
        Ok(received) => received,
        Err(refusal) => return refusal,
    };
    let submitted = job_body::read(&received.bytes, caller, &mut findings);
    let Some(submitted) = submitted.filter(|_| findings.is_empty()) else {
        entry.metrics.count_invalid();
        return reply::invalid(&findings);
    };
    record(entry, submitted).await
}

async fn record(entry: &Entry, submitted: JobSubmitted) -> Reply {
    let job = submitted.job;
    match entry.commit().write_one(submitted).await {
        Ok(Effect::Applied(_)) => {
            log::info!(event = "job_accepted", job:%; "");
            view(entry, job, StatusCode::CREATED)
        }
        Ok(Effect::Duplicate) => view(entry, job, StatusCode::OK),
        Ok(Effect::Rejected(reason)) => {
            reply::problem(StatusCode::CONFLICT, "void", &reason.to_string())
        }
        Err(error) => ledger::commit_failed(error),
    }
}

/// Lists the open jobs.
pub(crate) fn list(entry: &Entry) -> Reply {
    let jobs = entry
        .folded
        .with(|state| state.jobs().map(JobReply::from).collect());
    reply::json(StatusCode::OK, &JobList { jobs })
}

/// Shows the job in the path.
pub(crate) fn show(entry: &Entry, path: &JobPath) -> Reply {
    match read_path(path) {
        Ok(job) => view(entry, job, StatusCode::OK),
        Err(findings) => reply::invalid(&findings),
    }
}

/// Cancels the job in the path.
pub(crate) async fn cancel(entry: &Entry, path: &JobPath) -> Reply {
    let job = match read_path(path) {
        Ok(job) => job,
        Err(findings) => return reply::invalid(&findings),
    };
    match entry.commit().write_one(JobCancelled { job }).await {
        Ok(Effect::Applied(_) | Effect::Duplicate | Effect::Rejected(_)) => {
            view(entry, job, StatusCode::OK)
        }
        Err(error) => ledger::commit_failed(error),
    }
}

fn read_path(path: &JobPath) -> Result<JobId, Findings> {
    let mut findings = Findings::new();
    let job = head::parse_at("path.job", &path.job, &mut findings);
    job.ok_or(findings)
}

fn view(entry: &Entry, job: JobId, status: StatusCode) -> Reply {
    let view = entry
        .folded
        .with(|state| state.job(job).map(JobReply::from));
    match view {
        Some(view) => reply::json(status, &view),
        None => reply::problem(
            StatusCode::NOT_FOUND,
            "no-such-job",
            "no job with this id is open or ended lately",
        ),
    }
}

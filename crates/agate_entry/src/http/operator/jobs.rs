//! `/v1/jobs` for operators: the caller endpoints with token authentication.

use std::sync::Arc;

use dropshot::{HttpError, Path, RequestContext, StreamingBody, endpoint};

use super::auth;
use crate::entry::Entry;
use crate::http::caller::jobs::{self, JobPath};
use crate::http::reply::Reply;

/// Accepts a job once the log holds it.
#[endpoint { method = POST, path = "/v1/jobs" }]
pub(crate) async fn operator_submits_job(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let headers = context.request.headers();
    if let Err(refusal) = auth::check(headers, &entry.token) {
        return Ok(refusal);
    }
    Ok(jobs::submit(entry, headers, input).await)
}

/// Lists the open jobs.
#[endpoint { method = GET, path = "/v1/jobs" }]
pub(crate) async fn operator_lists_jobs(
    context: RequestContext<Arc<Entry>>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    Ok(jobs::list(entry))
}

/// Shows a job.
#[endpoint { method = GET, path = "/v1/jobs/{job}" }]
pub(crate) async fn operator_shows_job(
    context: RequestContext<Arc<Entry>>,
    path: Path<JobPath>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    Ok(jobs::show(entry, &path.into_inner()))
}

/// Cancels a job.
#[endpoint { method = DELETE, path = "/v1/jobs/{job}" }]
pub(crate) async fn operator_cancels_job(
    context: RequestContext<Arc<Entry>>,
    path: Path<JobPath>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    Ok(jobs::cancel(entry, &path.into_inner()).await)
}

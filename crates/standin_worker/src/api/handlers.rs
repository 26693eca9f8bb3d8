//! Request handlers.

use std::sync::Arc;
use std::time::Duration;

use agate_core::RunId;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path, RequestContext, TypedBody, endpoint,
};

use super::types::{LeaseBody, OpenRun, RunPath, StartBody, UsageBody};
use crate::engine::{Engine, StartRequest};
use crate::task::{Speed, Task};
use crate::{Fault, TaskStatus, WorkerRecord};

type Context = RequestContext<Arc<Engine>>;
type Status = Result<HttpResponseOk<TaskStatus>, HttpError>;

/// Registers every endpoint.
pub(crate) fn register_endpoints()
-> Result<ApiDescription<Arc<Engine>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(start)?;
    api.register(open)?;
    api.register(lease)?;
    api.register(throttle)?;
    api.register(release)?;
    api.register(stop)?;
    api.register(checkpoint)?;
    api.register(usage)?;
    api.register(ran)?;
    api.register(faults)?;
    Ok(api)
}

/// Blocks the request for as long as [`Fault::Silence`] is active.
async fn block_while_silent(engine: &Engine) {
    while engine.fault() == Fault::Silence {
        tokio::time::sleep(crate::engine::TICK_INTERVAL).await;
    }
}

fn status_response(status: Option<TaskStatus>) -> Status {
    let Some(status) = status else {
        return Err(HttpError::for_not_found(None, "unknown run".to_owned()));
    };
    Ok(HttpResponseOk(status))
}

/// Starts a task. Idempotent: a run that is already known is not started again.
#[endpoint { method = POST, path = "/tasks" }]
async fn start(context: Context, body: TypedBody<StartBody>) -> Status {
    let engine = context.context();
    block_while_silent(engine).await;
    let body = body.into_inner();
    let bad = |cause: String| HttpError::for_bad_request(None, cause);
    let payload = match body.payload.as_str() {
        "" => crate::Payload::default(),
        text => serde_json::from_str(text).map_err(|error| bad(format!("payload: {error}")))?,
    };
    let start_progress = parse_checkpoint(body.checkpoint.as_deref()).map_err(bad)?;
    Ok(HttpResponseOk(engine.start(StartRequest {
        run: body.run,
        demand: body.demand.into(),
        payload,
        start_progress,
        deadline: Duration::from_micros(body.deadline_us),
    })))
}

/// Returns the progress stored in a checkpoint.
fn parse_checkpoint(text: Option<&str>) -> Result<Duration, String> {
    let Some(text) = text else {
        return Ok(Duration::ZERO);
    };
    let micros = text.strip_prefix("at-");
    let micros = micros.and_then(|number| number.parse().ok());
    let micros = micros.ok_or_else(|| format!("invalid checkpoint {text:?}"))?;
    Ok(Duration::from_micros(micros))
}

/// Lists the runs that have not ended.
#[endpoint { method = GET, path = "/tasks" }]
async fn open(context: Context) -> Result<HttpResponseOk<Vec<OpenRun>>, HttpError> {
    let engine = context.context();
    block_while_silent(engine).await;
    let open = engine.list_open().into_iter().map(OpenRun).collect();
    Ok(HttpResponseOk(open))
}

/// Renews the lease of a task. Resumes a task that was paused because its lease had expired.
#[endpoint { method = POST, path = "/tasks/{run}/lease" }]
async fn lease(context: Context, path: Path<RunPath>, body: TypedBody<LeaseBody>) -> Status {
    let engine = context.context();
    block_while_silent(engine).await;
    let deadline = Duration::from_micros(body.into_inner().deadline_us);
    status_response(engine.update(path.into_inner().run, |task, now| {
        task.advance(now);
        task.deadline = deadline;
    }))
}

/// Throttles a task.
#[endpoint { method = POST, path = "/tasks/{run}/throttle" }]
async fn throttle(context: Context, path: Path<RunPath>) -> Status {
    set_speed(&context, path.into_inner().run, Speed::Throttled).await
}

/// Ends the throttling of a task.
#[endpoint { method = POST, path = "/tasks/{run}/release" }]
async fn release(context: Context, path: Path<RunPath>) -> Status {
    set_speed(&context, path.into_inner().run, Speed::Full).await
}

async fn set_speed(context: &Context, run: RunId, speed: Speed) -> Status {
    let engine = context.context();
    block_while_silent(engine).await;
    status_response(engine.update(run, |task, now| {
        task.advance(now);
        task.speed = speed;
    }))
}

/// Ends a task without a checkpoint.
#[endpoint { method = POST, path = "/tasks/{run}/stop" }]
async fn stop(context: Context, path: Path<RunPath>) -> Status {
    let engine = context.context();
    block_while_silent(engine).await;
    Ok(HttpResponseOk(engine.stop(path.into_inner().run)))
}

/// Checkpoints a task and ends it.
#[endpoint { method = POST, path = "/tasks/{run}/checkpoint" }]
async fn checkpoint(context: Context, path: Path<RunPath>) -> Status {
    let engine = context.context();
    block_while_silent(engine).await;
    let run = path.into_inner().run;
    let Some(time) = engine.checkpoint_time(run) else {
        return status_response(None);
    };
    if engine.fault() == Fault::VanishInCheckpoint {
        // The task runs on until its lease expires, as on a worker behind a network partition.
        engine.set_fault(Fault::Silence);
        block_while_silent(engine).await;
    }
    engine.update(run, Task::begin_checkpoint);
    tokio::time::sleep(time).await;
    status_response(engine.update(run, Task::finish_checkpoint))
}

/// Returns the lagging usage of each open task.
#[endpoint { method = GET, path = "/usage" }]
async fn usage(context: Context) -> Result<HttpResponseOk<Vec<UsageBody>>, HttpError> {
    let engine = context.context();
    block_while_silent(engine).await;
    let Some(sample) = engine.usage() else {
        return Ok(HttpResponseOk(Vec::new()));
    };
    let measured = u64::try_from(sample.measured_at.as_micros()).unwrap_or(u64::MAX);
    let bodies = sample.used.into_iter().map(|(run, used)| UsageBody {
        run,
        measured_us: measured,
        used: used.into(),
    });
    Ok(HttpResponseOk(bodies.collect()))
}

/// Returns the record of what ran. Not affected by faults.
#[endpoint { method = GET, path = "/ran" }]
async fn ran(context: Context) -> Result<HttpResponseOk<WorkerRecord>, HttpError> {
    Ok(HttpResponseOk(context.context().ran()))
}

/// Sets the active fault. Not affected by faults.
#[endpoint { method = POST, path = "/faults" }]
async fn faults(
    context: Context,
    body: TypedBody<Fault>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().set_fault(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

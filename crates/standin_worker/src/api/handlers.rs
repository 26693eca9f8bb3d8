//! Handlers of the calls.

use std::sync::Arc;
use std::time::Duration;

use agate_core::RunId;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path, RequestContext, TypedBody, endpoint,
};

use super::types::{LeaseBody, OpenRun, RunPath, StartBody, UsageBody};
use crate::engine::{Engine, Start};
use crate::task::{Speed, Task};
use crate::{Fault, TaskStatus, WorkerRecord};

type Context = RequestContext<Arc<Engine>>;
type Status = Result<HttpResponseOk<TaskStatus>, HttpError>;

/// Every call.
pub(crate) fn describe() -> Result<ApiDescription<Arc<Engine>>, ApiDescriptionRegisterError> {
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

/// Waits for ever if the worker answers nobody.
async fn be_silent(engine: &Engine) {
    while engine.fault() == Fault::Silence {
        tokio::time::sleep(crate::engine::TICK).await;
    }
}

fn known(status: Option<TaskStatus>) -> Status {
    let Some(status) = status else {
        return Err(HttpError::for_not_found(None, "unknown run".to_owned()));
    };
    Ok(HttpResponseOk(status))
}

/// Starts a task; the same run is started once.
#[endpoint { method = POST, path = "/tasks" }]
async fn start(context: Context, body: TypedBody<StartBody>) -> Status {
    let engine = context.context();
    be_silent(engine).await;
    let body = body.into_inner();
    let bad = |cause: String| HttpError::for_bad_request(None, cause);
    let payload = match body.payload.as_str() {
        "" => crate::Payload::default(),
        text => serde_json::from_str(text).map_err(|error| bad(format!("payload: {error}")))?,
    };
    let from = progress(body.checkpoint.as_deref()).map_err(bad)?;
    Ok(HttpResponseOk(engine.start(Start {
        run: body.run,
        demand: body.demand.into(),
        payload,
        from,
        deadline: Duration::from_micros(body.deadline_us),
    })))
}

/// The progress that a checkpoint stands for.
fn progress(text: Option<&str>) -> Result<Duration, String> {
    let Some(text) = text else {
        return Ok(Duration::ZERO);
    };
    let micros = text.strip_prefix("at-");
    let micros = micros.and_then(|number| number.parse().ok());
    let micros = micros.ok_or_else(|| format!("{text:?} is no checkpoint of a worker"))?;
    Ok(Duration::from_micros(micros))
}

/// Lists the runs that are not over.
#[endpoint { method = GET, path = "/tasks" }]
async fn open(context: Context) -> Result<HttpResponseOk<Vec<OpenRun>>, HttpError> {
    let engine = context.context();
    be_silent(engine).await;
    let open = engine.open().into_iter().map(OpenRun).collect();
    Ok(HttpResponseOk(open))
}

/// Replaces the deadline of a task's lease; a task that it had paused goes on.
#[endpoint { method = POST, path = "/tasks/{run}/lease" }]
async fn lease(context: Context, path: Path<RunPath>, body: TypedBody<LeaseBody>) -> Status {
    let engine = context.context();
    be_silent(engine).await;
    let deadline = Duration::from_micros(body.into_inner().deadline_us);
    known(engine.change(path.into_inner().run, |task, now| {
        task.advance(now);
        task.deadline = deadline;
    }))
}

/// Slows a task down.
#[endpoint { method = POST, path = "/tasks/{run}/throttle" }]
async fn throttle(context: Context, path: Path<RunPath>) -> Status {
    set_speed(&context, path.into_inner().run, Speed::Throttled).await
}

/// Takes a throttle back.
#[endpoint { method = POST, path = "/tasks/{run}/release" }]
async fn release(context: Context, path: Path<RunPath>) -> Status {
    set_speed(&context, path.into_inner().run, Speed::Full).await
}

async fn set_speed(context: &Context, run: RunId, speed: Speed) -> Status {
    let engine = context.context();
    be_silent(engine).await;
    known(engine.change(run, |task, now| {
        task.advance(now);
        task.speed = speed;
    }))
}

/// Ends a task without a checkpoint.
#[endpoint { method = POST, path = "/tasks/{run}/stop" }]
async fn stop(context: Context, path: Path<RunPath>) -> Status {
    let engine = context.context();
    be_silent(engine).await;
    Ok(HttpResponseOk(engine.stop(path.into_inner().run)))
}

/// Checkpoints a task and ends it.
#[endpoint { method = POST, path = "/tasks/{run}/checkpoint" }]
async fn checkpoint(context: Context, path: Path<RunPath>) -> Status {
    let engine = context.context();
    be_silent(engine).await;
    let run = path.into_inner().run;
    let Some(time) = engine.checkpoint_time(run) else {
        return known(None);
    };
    if engine.fault() == Fault::VanishInCheckpoint {
        // The task goes on for as long as its lease lasts, as on a machine that was cut off.
        engine.set_fault(Fault::Silence);
        be_silent(engine).await;
    }
    engine.change(run, Task::hold);
    tokio::time::sleep(time).await;
    known(engine.change(run, Task::checkpoint))
}

/// The newest reading of what each task uses; it lags.
#[endpoint { method = GET, path = "/usage" }]
async fn usage(context: Context) -> Result<HttpResponseOk<Vec<UsageBody>>, HttpError> {
    let engine = context.context();
    be_silent(engine).await;
    let Some(reading) = engine.usage() else {
        return Ok(HttpResponseOk(Vec::new()));
    };
    let measured = u64::try_from(reading.measured.as_micros()).unwrap_or(u64::MAX);
    let bodies = reading.used.into_iter().map(|(run, used)| UsageBody {
        run,
        measured_us: measured,
        used: used.into(),
    });
    Ok(HttpResponseOk(bodies.collect()))
}

/// Everything that really ran. Answered under every fault.
#[endpoint { method = GET, path = "/ran" }]
async fn ran(context: Context) -> Result<HttpResponseOk<WorkerRecord>, HttpError> {
    Ok(HttpResponseOk(context.context().ran()))
}

/// Puts a fault in force. Answered under every fault.
#[endpoint { method = POST, path = "/faults" }]
async fn faults(
    context: Context,
    body: TypedBody<Fault>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    context.context().set_fault(body.into_inner());
    Ok(HttpResponseUpdatedNoContent())
}

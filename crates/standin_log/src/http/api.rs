//! HTTP endpoints.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Offset;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use dropshot::{
    ApiDescription, ApiDescriptionRegisterError, ClientErrorStatusCode, HttpError, HttpResponseOk,
    HttpResponseUpdatedNoContent, Path, Query, RequestContext, TypedBody, UntypedBody, endpoint,
};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

use super::shared::{ReadQuery, Shared};
use crate::{AppendError, Faults};

/// Longest long-poll of a read.
const MAX_WAIT_MS: u64 = 30_000;
/// Most data in one read response, before Base64.
const MAX_PAGE_BYTES: u32 = 4 * 1024 * 1024;

type Context = RequestContext<Arc<Shared>>;

#[derive(Deserialize, JsonSchema)]
struct StreamPath {
    stream: String,
}

#[derive(Deserialize, JsonSchema)]
struct ReadParams {
    from: u64,
    max_bytes: Option<u32>,
    wait_ms: Option<u64>,
}

#[derive(Serialize, JsonSchema)]
struct Appended {
    offset: u64,
}

#[derive(Serialize, JsonSchema)]
struct EntryBody {
    offset: u64,
    data: String,
}

#[derive(Serialize, JsonSchema)]
struct PageBody {
    earliest: u64,
    end: u64,
    entries: Vec<EntryBody>,
}

pub(crate) fn register_endpoints()
-> Result<ApiDescription<Arc<Shared>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(append)?;
    api.register(read)?;
    api.register(set_faults)?;
    Ok(api)
}

/// Appends the body to a stream.
#[endpoint {
    method = POST,
    path = "/v1/streams/{stream}/append",
    request_body_max_bytes = 2_097_152,
}]
async fn append(
    context: Context,
    path: Path<StreamPath>,
    body: UntypedBody,
) -> Result<HttpResponseOk<Appended>, HttpError> {
    let shared = context.context();
    let stream = path.into_inner().stream;
    let data = Bytes::copy_from_slice(body.as_bytes());
    apply_faults(shared).await?;
    let appended = shared.log().append(&stream, data, shared.now());
    let offset = appended.map_err(over_limit)?;
    log::debug!(event = "appended", stream, offset:%; "");
    shared.notify_readers();
    if shared.loses_answer() {
        log::info!(event = "answer_lost", stream, offset:%; "");
        return Err(HttpError::for_internal_error("answer lost".to_owned()));
    }
    Ok(HttpResponseOk(Appended { offset: offset.0 }))
}

/// Reads a stream from an offset on, long-polling if there is nothing to return.
#[endpoint {
    method = GET,
    path = "/v1/streams/{stream}/read",
}]
async fn read(
    context: Context,
    path: Path<StreamPath>,
    params: Query<ReadParams>,
) -> Result<HttpResponseOk<PageBody>, HttpError> {
    let shared = context.context();
    let params = params.into_inner();
    let max_bytes = params.max_bytes.unwrap_or(MAX_PAGE_BYTES);
    let query = ReadQuery {
        stream: path.into_inner().stream,
        from: Offset(params.from),
        max_bytes: usize::try_from(max_bytes.min(MAX_PAGE_BYTES)).unwrap_or(usize::MAX),
        wait: Duration::from_millis(params.wait_ms.unwrap_or(0).min(MAX_WAIT_MS)),
    };
    apply_faults(shared).await?;
    let page = shared.read(&query).await;
    refuse_in_outage(shared)?;
    let encode = |entry: crate::Entry| EntryBody {
        offset: entry.offset.0,
        data: STANDARD.encode(&entry.data),
    };
    Ok(HttpResponseOk(PageBody {
        earliest: page.earliest.0,
        end: page.end.0,
        entries: page.entries.into_iter().map(encode).collect(),
    }))
}

/// Replaces the active faults.
#[endpoint {
    method = POST,
    path = "/v1/faults",
}]
async fn set_faults(
    context: Context,
    body: TypedBody<Faults>,
) -> Result<HttpResponseUpdatedNoContent, HttpError> {
    let faults = body.into_inner();
    let Faults {
        outage,
        slow_ms,
        lose_answers_percent: lose,
    } = faults;
    log::info!(event = "faults_set", outage, slow_ms, lose_answers_percent = lose; "");
    context.context().set_faults(faults);
    Ok(HttpResponseUpdatedNoContent())
}

/// Applies the active delay and outage to a request.
async fn apply_faults(shared: &Shared) -> Result<(), HttpError> {
    let slow_ms = shared.faults().slow_ms;
    if slow_ms > 0 {
        tokio::time::sleep(Duration::from_millis(slow_ms)).await;
    }
    refuse_in_outage(shared)
}

fn refuse_in_outage(shared: &Shared) -> Result<(), HttpError> {
    if shared.faults().outage {
        let message = "the log is down".to_owned();
        return Err(HttpError::for_unavail(None, message));
    }
    Ok(())
}

fn over_limit(error: AppendError) -> HttpError {
    let AppendError::OverLimit { wait } = error;
    let seconds = wait.as_millis().div_ceil(1_000);
    let status = ClientErrorStatusCode::TOO_MANY_REQUESTS;
    let mut refusal = HttpError::for_client_error(None, status, error.to_string());
    refusal.headers_mut().insert(
        "retry-after",
        u32::try_from(seconds).unwrap_or(u32::MAX).into(),
    );
    refusal
}

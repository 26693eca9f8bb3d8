//! Handling of a work request.

use std::sync::Arc;

use agate_core::clock::wall_millis;
use agate_core::hash::stable_hash_wide;
use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::Notify;

use crate::reply::{self, ReplyBody};
use crate::state::State;
use crate::{DIGEST_HEADER, Fault, KEY_HEADER, REQUEST_HEADER, Run};

/// Runs a request to its end, even if its connection is lost, and returns the response.
pub(crate) async fn serve(
    state: &Arc<State>,
    close_signal: &Notify,
    class: &str,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let header_text = |name: &str| {
        let value = head.headers.get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let run = Run {
        class: class.to_owned(),
        request: header_text(REQUEST_HEADER),
        key: header_text(KEY_HEADER),
        trace: header_text("traceparent"),
        digest: format!("{:032x}", stable_hash_wide(&[&body])),
        start_ms: wall_millis(),
        end_ms: None,
    };
    let Ok(fault) = execute(state, run.clone()).await else {
        return reply::status(StatusCode::SERVICE_UNAVAILABLE);
    };
    respond(fault, close_signal, &run, body).await
}

/// Takes a slot, waits for the service time and returns the fault that was active at the start.
async fn execute(state: &Arc<State>, run: Run) -> Result<Fault, crate::state::Overloaded> {
    let started = state.start(run)?;
    let fault = started.fault;
    let state = Arc::clone(state);
    // Spawned, so that losing the connection does not cancel the work.
    let work = tokio::spawn(async move {
        tokio::time::sleep(started.service_time).await;
        state.end(started.index);
    });
    if let Err(error) = work.await {
        log::error!("event=work_failed error={error:?}");
    }
    Ok(fault)
}

async fn respond(
    fault: Fault,
    close_signal: &Notify,
    run: &Run,
    body: Bytes,
) -> Response<ReplyBody> {
    match fault {
        Fault::None | Fault::Slow { .. } => complete_reply(run, run.request.as_deref(), body),
        Fault::WrongRequest => complete_reply(run, Some("0"), body),
        Fault::Cut => {
            let mut reply = reply::truncated(body);
            add_headers(&mut reply, run, run.request.as_deref());
            reply
        }
        Fault::Silence => std::future::pending().await,
        Fault::Errors => {
            let mut reply = reply::status(StatusCode::INTERNAL_SERVER_ERROR);
            add_headers(&mut reply, run, run.request.as_deref());
            reply
        }
        Fault::Close => {
            close_signal.notify_one();
            std::future::pending().await
        }
    }
}

fn complete_reply(run: &Run, request: Option<&str>, body: Bytes) -> Response<ReplyBody> {
    let mut reply = reply::bytes(StatusCode::OK, body);
    add_headers(&mut reply, run, request);
    reply
}

/// Adds the request id and the digest of the request body to the response headers.
fn add_headers(reply: &mut Response<ReplyBody>, run: &Run, request: Option<&str>) {
    let headers = reply.headers_mut();
    if let Some(Ok(value)) = request.map(HeaderValue::from_str) {
        headers.insert(REQUEST_HEADER, value);
    }
    if let Ok(value) = HeaderValue::from_str(&run.digest) {
        headers.insert(DIGEST_HEADER, value);
    }
}

//! One piece of work.

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

/// Runs the request to its end, even if its connection goes away, and answers it.
pub(crate) async fn serve(
    state: &Arc<State>,
    cut: &Notify,
    class: &str,
    request: Request<Incoming>,
) -> Response<ReplyBody> {
    let (head, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return reply::status(StatusCode::BAD_REQUEST);
    };
    let body = body.to_bytes();
    let text = |name: &str| {
        let value = head.headers.get(name)?;
        value.to_str().ok().map(ToOwned::to_owned)
    };
    let run = Run {
        class: class.to_owned(),
        request: text(REQUEST_HEADER),
        key: text(KEY_HEADER),
        trace: text("traceparent"),
        digest: format!("{:032x}", stable_hash_wide(&[&body])),
        start_ms: wall_millis(),
        end_ms: None,
    };
    let Ok(fault) = execute(state, run.clone()).await else {
        return reply::status(StatusCode::SERVICE_UNAVAILABLE);
    };
    answer(fault, cut, &run, body).await
}

/// Takes a slot, spends the service time and tells the fault under which the request ran.
async fn execute(state: &Arc<State>, run: Run) -> Result<Fault, crate::state::Overloaded> {
    let started = state.start(run)?;
    let fault = started.fault;
    let state = Arc::clone(state);
    // A task of its own: a connection that goes away must not end the work.
    let work = tokio::spawn(async move {
        tokio::time::sleep(started.time).await;
        state.end(started.index);
    });
    if let Err(error) = work.await {
        log::error!("event=work_failed error={error:?}");
    }
    Ok(fault)
}

async fn answer(fault: Fault, cut: &Notify, run: &Run, body: Bytes) -> Response<ReplyBody> {
    match fault {
        Fault::None | Fault::Slow { .. } => whole(run, run.request.as_deref(), body),
        Fault::WrongRequest => whole(run, Some("0"), body),
        Fault::Cut => {
            let mut reply = reply::cut(body);
            mark(&mut reply, run, run.request.as_deref());
            reply
        }
        Fault::Silence => std::future::pending().await,
        Fault::Errors => {
            let mut reply = reply::status(StatusCode::INTERNAL_SERVER_ERROR);
            mark(&mut reply, run, run.request.as_deref());
            reply
        }
        Fault::Close => {
            cut.notify_one();
            std::future::pending().await
        }
    }
}

fn whole(run: &Run, request: Option<&str>, body: Bytes) -> Response<ReplyBody> {
    let mut reply = reply::bytes(StatusCode::OK, body);
    mark(&mut reply, run, request);
    reply
}

/// Repeats the id of the request and the digest of its body in the answer's headers.
fn mark(reply: &mut Response<ReplyBody>, run: &Run, request: Option<&str>) {
    let headers = reply.headers_mut();
    if let Some(Ok(value)) = request.map(HeaderValue::from_str) {
        headers.insert(REQUEST_HEADER, value);
    }
    if let Ok(value) = HeaderValue::from_str(&run.digest) {
        headers.insert(DIGEST_HEADER, value);
    }
}

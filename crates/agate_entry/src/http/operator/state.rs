//! `/health` and `/metrics` for load balancers and monitoring; neither requires the token.

use std::sync::Arc;

use agate_telemetry::metrics::MEDIA_TYPE;
use dropshot::{HttpError, RequestContext, endpoint};
use http::{HeaderValue, StatusCode};
use serde::Serialize;

use crate::entry::Entry;
use crate::http::reply::{self, Reply};

/// Health of this entry.
#[derive(Debug, Serialize)]
struct HealthView {
    status: &'static str,
    incarnation: String,
    open: usize,
    members: usize,
    config: String,
}

/// Returns whether this entry accepts requests.
#[endpoint { method = GET, path = "/health" }]
pub(crate) async fn health(context: RequestContext<Arc<Entry>>) -> Result<Reply, HttpError> {
    let entry = context.context();
    let (status, code) = if entry.drain.leaving.is_cancelled() {
        ("leaving", StatusCode::SERVICE_UNAVAILABLE)
    } else {
        ("serving", StatusCode::OK)
    };
    let view = HealthView {
        status,
        incarnation: entry.me.incarnation.to_string(),
        open: entry.drain.count(),
        members: entry.members.with(|view| view.len()),
        config: entry.config.version().to_string(),
    };
    Ok(reply::json(code, &view))
}

/// Returns all metrics.
#[endpoint { method = GET, path = "/metrics" }]
pub(crate) async fn metrics(context: RequestContext<Arc<Entry>>) -> Result<Reply, HttpError> {
    let entry = context.context();
    let text = entry
        .metrics
        .text(entry)
        .map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    let media = HeaderValue::from_static(MEDIA_TYPE);
    Ok(reply::with_body(StatusCode::OK, media, text.into_bytes()))
}

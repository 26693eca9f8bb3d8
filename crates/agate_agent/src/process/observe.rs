//! The HTTP server for metrics and health.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_telemetry::logs::slog_logger;
use agate_telemetry::metrics::MEDIA_TYPE;
use dropshot::{
    ApiDescription, Body, ConfigDropshot, HttpError, HttpServer, RequestContext, ServerBuilder,
    endpoint,
};
use http::header::CONTENT_TYPE;
use http::{Response, StatusCode};

use crate::state::{Core, Phase};

/// Starts the server.
///
/// # Errors
///
/// Returns the reason if it can't listen on `address`.
pub(crate) fn serve(core: Arc<Core>, address: SocketAddr) -> Result<HttpServer<Arc<Core>>, String> {
    let mut api = ApiDescription::new();
    api.register(metrics).map_err(|error| error.to_string())?;
    api.register(health).map_err(|error| error.to_string())?;
    let config = ConfigDropshot {
        bind_address: address,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, core, slog_logger())
        .config(config)
        .start()
        .map_err(|error| error.to_string())
}

/// Returns the metrics in the `OpenMetrics` text format.
#[endpoint { method = GET, path = "/metrics" }]
async fn metrics(context: RequestContext<Arc<Core>>) -> Result<Response<Body>, HttpError> {
    let core = context.context();
    let text = core.metrics.render(&core.load());
    let text = text.map_err(|error| HttpError::for_internal_error(error.to_string()))?;
    respond(StatusCode::OK, MEDIA_TYPE, text)
}

/// Returns 200 while the agent accepts work, 503 once it is leaving.
#[endpoint { method = GET, path = "/health" }]
async fn health(context: RequestContext<Arc<Core>>) -> Result<Response<Body>, HttpError> {
    match context.context().phase() {
        Phase::Serving => respond(StatusCode::OK, "text/plain", "serving\n".to_owned()),
        Phase::Leaving | Phase::Draining | Phase::Ending => respond(
            StatusCode::SERVICE_UNAVAILABLE,
            "text/plain",
            "leaving\n".to_owned(),
        ),
    }
}

fn respond(
    status: StatusCode,
    media_type: &'static str,
    text: String,
) -> Result<Response<Body>, HttpError> {
    Response::builder()
        .status(status)
        .header(CONTENT_TYPE, media_type)
        .body(Body::from(text))
        .map_err(|error| HttpError::for_internal_error(error.to_string()))
}

//! A supervised dropshot server.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_super::ChildError;
use agate_telemetry::logs::slog_logger;
use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;

/// An HTTP listener for callers or operators.
pub(crate) type Listener = HttpServer<Arc<Entry>>;

/// Starts to listen on `address`.
///
/// Handlers are detached from their connection, so a client that disconnects doesn't cancel its
/// request.
///
/// # Errors
///
/// Fails if the address can't be bound.
pub(crate) fn serve(
    entry: &Arc<Entry>,
    api: ApiDescription<Arc<Entry>>,
    address: SocketAddr,
) -> Result<Listener, ChildError> {
    let config = ConfigDropshot {
        bind_address: address,
        // One byte above the limit, so that the handler reports an oversized body itself.
        default_request_body_max_bytes: entry.limits.max_body_bytes + 1,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::clone(entry), slog_logger())
        .config(config)
        .start()
        .map_err(|error| ChildError::from_error(&error))
}

/// Runs until the server fails or `stop` is cancelled, then closes it once open requests have
/// ended.
pub(crate) async fn run(server: Listener, stop: CancellationToken) -> Result<(), ChildError> {
    let ended = server.wait_for_shutdown();
    match stop.run_until_cancelled(ended).await {
        Some(Ok(())) => Err(ChildError("the HTTP server ended by itself".to_owned())),
        Some(Err(error)) => Err(ChildError(error)),
        None => server.close().await.map_err(ChildError),
    }
}

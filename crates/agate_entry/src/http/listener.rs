//! A dropshot server as a supervised task.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_super::ChildError;
use agate_telemetry::logs::slog_logger;
use dropshot::{ApiDescription, ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;

/// What callers and operators connect to.
pub(crate) type Listener = HttpServer<Arc<Entry>>;

/// Starts to listen on `address`.
///
/// Handlers are detached from their connection: a client that goes away cancels nothing that has
/// begun.
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
        // One byte more, so that the handler itself finds and reports a body that is too large.
        default_request_body_max_bytes: entry.limits.max_body_bytes + 1,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    ServerBuilder::new(api, Arc::clone(entry), slog_logger())
        .config(config)
        .start()
        .map_err(|error| ChildError::from_error(&error))
}

/// Waits until the server ends or `stop` is cancelled, then closes it after open requests.
pub(crate) async fn run(server: Listener, stop: CancellationToken) -> Result<(), ChildError> {
    let ended = server.wait_for_shutdown();
    match stop.run_until_cancelled(ended).await {
        Some(Ok(())) => Err(ChildError("the HTTP server ended by itself".to_owned())),
        Some(Err(error)) => Err(ChildError(error)),
        None => server.close().await.map_err(ChildError),
    }
}

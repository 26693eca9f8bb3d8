//! The HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_telemetry::logs::slog_logger;
use displaydoc::Display;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};

use super::api::register_endpoints;
use super::shared::Shared;
use crate::{Faults, Limits};

/// Configuration of the server.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct Config {
    /// Address and port to listen on; port 0 picks a free port.
    pub listen: SocketAddr,
    /// Limits of the log service.
    pub limits: Limits,
    /// Faults that are active from the start.
    #[builder(default)]
    pub faults: Faults,
    /// Seed of the random choice of lost responses.
    #[builder(default)]
    pub seed: u64,
}

/// Error of starting or closing the server.
#[derive(Debug, Display)]
pub enum ServeError {
    /// failed to register the endpoints: {0}
    Api(String),
    /// failed to listen: {0}
    Listen(String),
    /// the server failed: {0}
    Ended(String),
}

impl std::error::Error for ServeError {}

/// Handle to a running server.
pub struct Handle {
    shared: Arc<Shared>,
    server: HttpServer<Arc<Shared>>,
}

impl std::fmt::Debug for Handle {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Handle")
            .field("address", &self.address())
            .finish_non_exhaustive()
    }
}

impl Handle {
    /// Returns the address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Replaces the active faults, like `POST /v1/faults`.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Ends long-polling reads and closes the server.
    ///
    /// # Errors
    ///
    /// Returns [`ServeError::Ended`] if the server failed.
    pub async fn close(self) -> Result<(), ServeError> {
        self.shared.close();
        self.server.close().await.map_err(ServeError::Ended)
    }
}

/// Starts a server with an empty log.
///
/// # Errors
///
/// Returns an error if the server can't start.
pub async fn serve(config: Config) -> Result<Handle, ServeError> {
    let shared = Arc::new(Shared::new(config.limits, config.seed));
    shared.set_faults(config.faults);
    let api = register_endpoints().map_err(|error| ServeError::Api(error.to_string()))?;
    let settings = ConfigDropshot {
        bind_address: config.listen,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let server = ServerBuilder::new(api, Arc::clone(&shared), slog_logger())
        .config(settings)
        .start()
        .map_err(|error| ServeError::Listen(error.to_string()))?;
    log::info!(event = "log_listening", address:% = server.local_addr(); "");
    Ok(Handle { shared, server })
}

//! The HTTP server.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_telemetry::logs::slog_logger;
use displaydoc::Display;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};

use super::api::describe;
use super::shared::Shared;
use crate::{Faults, Limits};

/// How the log is served.
#[derive(Debug, Clone, Copy, bon::Builder)]
pub struct Config {
    /// Address and port to listen on; port 0 takes a free one.
    pub listen: SocketAddr,
    /// Limits of the log service.
    pub limits: Limits,
    /// Faults in force from the start.
    #[builder(default)]
    pub faults: Faults,
    /// Seed of the draw of lost answers.
    #[builder(default)]
    pub seed: u64,
}

/// Why the log can't be served.
#[derive(Debug, Display)]
pub enum ServeError {
    /// the endpoints can't be registered: {0}
    Api(String),
    /// the address can't be listened on: {0}
    Listen(String),
    /// the server ended with an error: {0}
    Ended(String),
}

impl std::error::Error for ServeError {}

/// A running log.
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
    /// Where the log listens.
    pub fn address(&self) -> SocketAddr {
        self.server.local_addr()
    }

    /// Switches faults, as `POST /v1/faults` does.
    pub fn set_faults(&self, faults: Faults) {
        self.shared.set_faults(faults);
    }

    /// Ends waiting reads and closes the server.
    ///
    /// # Errors
    ///
    /// Returns [`ServeError::Ended`] if the server failed.
    pub async fn close(self) -> Result<(), ServeError> {
        self.shared.close();
        self.server.close().await.map_err(ServeError::Ended)
    }
}

/// Serves an empty log.
///
/// # Errors
///
/// Returns why the server can't start.
pub async fn serve(config: Config) -> Result<Handle, ServeError> {
    let shared = Arc::new(Shared::new(config.limits, config.seed));
    shared.set_faults(config.faults);
    let api = describe().map_err(|error| ServeError::Api(error.to_string()))?;
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

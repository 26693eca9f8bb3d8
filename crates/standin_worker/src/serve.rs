//! Starting and stopping the server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use displaydoc::Display;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use tokio::task::JoinHandle;

use crate::engine::{Engine, TICK_INTERVAL};
use crate::{Fault, WorkerRecord, api};

/// Maximum size of a request body: a task's payload and the fields around it.
const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;

/// Configuration of the server.
#[derive(Debug, Clone, Builder)]
pub struct Config {
    /// Address and port to listen on; port 0 picks a free port.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// Minimum age of a reported usage sample.
    #[builder(default = Duration::from_millis(500))]
    pub lag: Duration,
}

/// failed to serve on {address}: {cause}
#[derive(Debug, Display)]
pub struct ServeError {
    /// Address that was to be listened on.
    pub address: SocketAddr,
    /// Cause of the failure.
    pub cause: String,
}

impl std::error::Error for ServeError {}

/// Handle to a running server. Dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    engine: Arc<Engine>,
    ticks: JoinHandle<()>,
    _server: Server,
}

/// Wraps the HTTP server, which does not implement `Debug`.
struct Server(
    #[expect(dead_code, reason = "dropping it stops the server")] HttpServer<Arc<Engine>>,
);

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Server")
    }
}

impl Handle {
    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record of what ran.
    pub fn ran(&self) -> WorkerRecord {
        self.engine.ran()
    }

    /// Sets the active fault.
    pub fn set_fault(&self, fault: Fault) {
        self.engine.set_fault(fault);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.ticks.abort();
    }
}

/// Starts the server on the caller's runtime.
///
/// # Errors
///
/// Returns an error if the server can't listen on the address.
pub fn serve(config: &Config) -> Result<Handle, ServeError> {
    let failed = |cause: String| ServeError {
        address: config.listen,
        cause,
    };
    let engine = Arc::new(Engine::new(config.lag));
    let description = api::register_endpoints().map_err(|error| failed(error.to_string()))?;
    let dropshot = ConfigDropshot {
        bind_address: config.listen,
        default_request_body_max_bytes: MAX_REQUEST_BYTES,
        default_handler_task_mode: HandlerTaskMode::Detached,
        ..ConfigDropshot::default()
    };
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let server = ServerBuilder::new(description, Arc::clone(&engine), log)
        .config(dropshot)
        .start()
        .map_err(|error| failed(error.to_string()))?;
    Ok(Handle {
        address: server.local_addr(),
        ticks: tokio::spawn(tick(Arc::clone(&engine))),
        engine,
        _server: Server(server),
    })
}

async fn tick(engine: Arc<Engine>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        engine.tick();
    }
}

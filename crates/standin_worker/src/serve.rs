//! Start and stop of the stand-in.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use displaydoc::Display;
use dropshot::{ConfigDropshot, HandlerTaskMode, HttpServer, ServerBuilder};
use tokio::task::JoinHandle;

use crate::engine::{Engine, TICK};
use crate::{Fault, WorkerRecord, api};

/// Largest request in bytes: a task's payload and its envelope.
const MAX_REQUEST_BYTES: usize = 2 * 1024 * 1024;

/// How the stand-in behaves.
#[derive(Debug, Clone, Builder)]
pub struct Config {
    /// Where it listens; port 0 picks a free one.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// Age of the newest usage reading that it tells.
    #[builder(default = Duration::from_millis(500))]
    pub lag: Duration,
}

/// the stand-in could not listen on {address}: {cause}
#[derive(Debug, Display)]
pub struct ServeError {
    /// The address.
    pub address: SocketAddr,
    /// What went wrong.
    pub cause: String,
}

impl std::error::Error for ServeError {}

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    engine: Arc<Engine>,
    ticks: JoinHandle<()>,
    _server: Server,
}

/// The HTTP server, which has no `Debug` of its own.
struct Server(#[expect(dead_code, reason = "kept for its drop")] HttpServer<Arc<Engine>>);

impl std::fmt::Debug for Server {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Server")
    }
}

impl Handle {
    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it really ran.
    pub fn ran(&self) -> WorkerRecord {
        self.engine.ran()
    }

    /// Puts `fault` in force.
    pub fn set_fault(&self, fault: Fault) {
        self.engine.set_fault(fault);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.ticks.abort();
    }
}

/// Starts the stand-in within the runtime of the caller.
///
/// # Errors
///
/// Returns the address that it could not listen on.
pub fn serve(config: &Config) -> Result<Handle, ServeError> {
    let failed = |cause: String| ServeError {
        address: config.listen,
        cause,
    };
    let engine = Arc::new(Engine::new(config.lag));
    let description = api::describe().map_err(|error| failed(error.to_string()))?;
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
    let mut ticks = tokio::time::interval(TICK);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        engine.tick();
    }
}

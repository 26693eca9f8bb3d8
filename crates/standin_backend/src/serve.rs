//! Starting and stopping the server.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bon::Builder;
use displaydoc::Display;
use tokio::net::TcpListener;
use tokio::task::JoinHandle;

use crate::connection::Connection;
use crate::state::State;
use crate::{BackendRecord, Fault, ServiceTime};

/// Configuration of the server.
#[derive(Debug, Clone, Builder)]
pub struct Config {
    /// Address and port to listen on; port 0 picks a free port.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// Maximum number of concurrent requests.
    #[builder(default = 8)]
    pub slots: u32,
    /// Maximum number of concurrent connections that carry work.
    #[builder(default = 64)]
    pub connections: u32,
    /// Distribution of service times.
    #[builder(default = ServiceTime::Fixed(Duration::from_millis(5)))]
    pub service: ServiceTime,
    /// Seed of the service times.
    #[builder(default = 1)]
    pub seed: u64,
}

/// failed to listen on {address}: {source}
#[derive(Debug, Display)]
pub struct ServeError {
    /// Address that was to be listened on.
    pub address: SocketAddr,
    /// Error from the operating system.
    pub source: std::io::Error,
}

impl std::error::Error for ServeError {}

/// Handle to a running server. Dropping it stops the server.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    state: Arc<State>,
    accept: JoinHandle<()>,
}

impl Handle {
    /// Returns the address that the server listens on.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the record of what ran.
    pub fn ran(&self) -> BackendRecord {
        self.state.ran()
    }

    /// Sets the active fault.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Starts the server.
///
/// # Errors
///
/// Returns an error if the server can't listen on the address.
pub async fn serve(config: Config) -> Result<Handle, ServeError> {
    let failed = |source| ServeError {
        address: config.listen,
        source,
    };
    let listener = TcpListener::bind(config.listen).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    let state = Arc::new(State::new(config));
    let accept = tokio::spawn(accept(Arc::clone(&state), listener));
    Ok(Handle {
        address,
        state,
        accept,
    })
}

/// Pause after a failed accept, such as when file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(50);

async fn accept(state: Arc<State>, listener: TcpListener) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(Connection::run(Arc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error:?}");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

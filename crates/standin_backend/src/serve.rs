//! Start and stop of the stand-in.

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

/// How the stand-in behaves.
#[derive(Debug, Clone, Builder)]
pub struct Config {
    /// Where it listens; port 0 picks a free one.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// Requests that it works on at once.
    #[builder(default = 8)]
    pub slots: u32,
    /// Connections that it accepts work from.
    #[builder(default = 64)]
    pub connections: u32,
    /// How long requests take.
    #[builder(default = ServiceTime::Fixed(Duration::from_millis(5)))]
    pub service: ServiceTime,
    /// Seed of the service times.
    #[builder(default = 1)]
    pub seed: u64,
}

/// The stand-in could not listen on {address}: {source}
#[derive(Debug, Display)]
pub struct ServeError {
    /// The address.
    pub address: SocketAddr,
    /// What the operating system said.
    pub source: std::io::Error,
}

impl std::error::Error for ServeError {}

/// A running stand-in; it stops when the handle is dropped.
#[derive(Debug)]
pub struct Handle {
    address: SocketAddr,
    state: Arc<State>,
    accept: JoinHandle<()>,
}

impl Handle {
    /// Where it listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it really ran.
    pub fn ran(&self) -> BackendRecord {
        self.state.ran()
    }

    /// Puts `fault` in force.
    pub fn set_fault(&self, fault: Fault) {
        self.state.set_fault(fault);
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.accept.abort();
    }
}

/// Starts the stand-in.
///
/// # Errors
///
/// Returns the address that it could not listen on.
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

/// Time to wait after a failed accept, for instance when file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

async fn accept(state: Arc<State>, listener: TcpListener) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                connections.spawn(Connection::run(Arc::clone(&state), stream));
            }
            Err(error) => {
                log::warn!("event=accept_failed error={error:?}");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
        while connections.try_join_next().is_some() {}
    }
}

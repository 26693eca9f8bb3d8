//! Calls to the log through another process, for a process that the log does not serve.
//!
//! A call goes to the log first. If the log rejects it, it goes to a peer, an entry that makes the
//! call over its own connection. After repeated rejections or a timeout calls go to a peer first
//! (a *failover*), until the log serves this process again.

mod attempts;
mod client;
mod codec;
mod direct;
mod failover;
mod outgoing;
mod peers;
mod protocol;
mod server;
mod transport;

use std::net::SocketAddr;
use std::sync::Arc;

pub use attempts::{Attempts, Order, Target};
pub use codec::{DecodeError, EncodeError};
pub use failover::{CallResult, EndedFailover, Failover, Transition};
pub use outgoing::OutgoingBody;
pub use peers::Peers;
pub use protocol::{Call, Method, RelayRequest, RelayResponse, decode_call, status};
pub use protocol::{append_request, append_response, decode_append};
pub use protocol::{decode_read, newest_request, read_request, read_response};
pub use server::RelayServer;
pub use transport::{Transport, TransportError};

use self::client::RelayedLog;
use self::direct::DirectLog;
use crate::metrics::Metrics;
use crate::store::KeyedLog;

/// Size limit of a request's body. A relay has little memory, and groups of records are smaller.
pub const MAX_REQUEST_BYTES: usize = 1_048_576;

/// Settings of a relay.
#[derive(Debug, Clone)]
pub struct RelaySettings {
    /// Name of this process.
    pub name: String,
    /// Address on which this process relays calls. All processes use the same port.
    pub listener: SocketAddr,
    /// Addresses of entries, of which only the IP address is used.
    pub seeds: Vec<SocketAddr>,
}

/// A log that falls back to peers, and the server for the peers of this process.
#[derive(Debug)]
pub struct Relay {
    /// The log as this process uses it.
    pub log: Arc<dyn KeyedLog>,
    /// Serves the calls of other processes.
    pub server: Arc<RelayServer>,
}

/// Wraps the log `direct`, which this process calls over its own connection.
pub fn build(
    settings: &RelaySettings,
    direct: Arc<dyn KeyedLog>,
    transport: Arc<dyn Transport>,
    metrics: Arc<Metrics>,
) -> Relay {
    let peers = Peers::new(&settings.name, settings.listener, &settings.seeds);
    let direct = Arc::new(DirectLog::new(direct, peers));
    let server = RelayServer::new(Arc::clone(&direct), Arc::clone(&metrics));
    Relay {
        log: Arc::new(RelayedLog::new(direct, transport, metrics)),
        server: Arc::new(server),
    }
}

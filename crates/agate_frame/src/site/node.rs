//! Processes that belong together.

use std::net::SocketAddr;

use crate::process::Child;
use crate::relay::Relay;

/// An entry.
#[derive(Debug)]
pub struct EntryNode {
    /// Its process.
    pub process: Child,
    /// Where callers connect.
    pub callers: SocketAddr,
    /// Where operators connect.
    pub operators: SocketAddr,
    /// Where agents and entries connect.
    pub rpc: SocketAddr,
    /// The relay in front of that, if the layout asks for relays.
    pub relay: Option<Relay>,
    /// Index of its zone.
    pub zone: usize,
}

/// A backend server and its agent.
#[derive(Debug)]
pub struct BackendNode {
    /// The stand-in for the backend server.
    pub backend: Child,
    /// The agent.
    pub agent: Child,
    /// Where the stand-in listens.
    pub address: SocketAddr,
    /// The relay in front of the agent, if the layout asks for relays.
    pub relay: Option<Relay>,
    /// Index of its zone.
    pub zone: usize,
}

/// A worker and its agent.
#[derive(Debug)]
pub struct WorkerNode {
    /// The stand-in for the worker.
    pub worker: Child,
    /// The agent.
    pub agent: Child,
    /// Where the stand-in listens.
    pub address: SocketAddr,
    /// The relay in front of the agent, if the layout asks for relays.
    pub relay: Option<Relay>,
    /// Index of its zone.
    pub zone: usize,
}

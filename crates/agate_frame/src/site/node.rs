//! Processes that belong together, with their addresses.

use std::net::SocketAddr;

use crate::process::Child;
use crate::relay::Relay;

/// An entry.
#[derive(Debug)]
pub struct EntryNode {
    /// Process of the entry.
    pub process: Child,
    /// Address of the caller listener.
    pub callers: SocketAddr,
    /// Address of the operator listener.
    pub operators: SocketAddr,
    /// Address of the RPC listener for agents and other entries.
    pub rpc: SocketAddr,
    /// Relay in front of the RPC listener, if the layout has relays.
    pub relay: Option<Relay>,
    /// Index of the zone.
    pub zone: usize,
}

/// A backend server and its agent.
#[derive(Debug)]
pub struct BackendNode {
    /// Stand-in for the backend server.
    pub backend: Child,
    /// Agent.
    pub agent: Child,
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    /// Relay in front of the agent, if the layout has relays.
    pub relay: Option<Relay>,
    /// Index of the zone.
    pub zone: usize,
}

/// A worker and its agent.
#[derive(Debug)]
pub struct WorkerNode {
    /// Stand-in for the worker.
    pub worker: Child,
    /// Agent.
    pub agent: Child,
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    /// Relay in front of the agent, if the layout has relays.
    pub relay: Option<Relay>,
    /// Index of the zone.
    pub zone: usize,
}

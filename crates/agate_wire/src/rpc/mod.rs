//! The JSON-RPC interfaces.

mod agent;
mod entry;

pub use agent::{AgentRpcClient, AgentRpcServer};
pub use entry::{EntryRpcClient, EntryRpcServer};

/// Largest JSON-RPC message in bytes: a body in Base64 and its envelope.
pub const MAX_MESSAGE_BYTES: u32 = 2 * 1024 * 1024;

//! JSON-RPC interfaces.

mod agent;
mod entry;

pub use agent::{AgentRpcClient, AgentRpcServer};
pub use entry::{EntryRpcClient, EntryRpcServer};

/// Maximum size of a JSON-RPC message; fits a body of [`crate::MAX_BODY_BYTES`] in Base64 and its
/// envelope.
pub const MAX_MESSAGE_BYTES: u32 = 2 * 1024 * 1024;

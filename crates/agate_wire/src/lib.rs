//! Messages exchanged between processes, and the JSON-RPC interfaces that carry them.
//!
//! Times are sent as remaining or elapsed milliseconds, never as timestamps. Each reply echoes the
//! id of its request, and each body carries its length and checksum, so that every hop detects a
//! mismatched or truncated reply.

mod blob;
pub mod message;
pub mod rpc;

pub use blob::{Blob, BlobError, MAX_BODY_BYTES};

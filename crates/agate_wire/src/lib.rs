//! Messages between the processes of the system, and the JSON-RPC interfaces that carry them.
//!
//! Durations cross a process border as milliseconds left or passed, never as points in time. Each
//! answer repeats the id of its request, and each body carries its length and checksum, so that a
//! crossed or cut answer is recognised at every hop.

mod blob;
pub mod message;
pub mod rpc;

pub use blob::{Blob, BlobError, MAX_BODY_BYTES};

//! Stand-in for a platform's backend server, for tests and the demo only.
//!
//! It serves `POST /work/{class}` with a limited number of slots and connections, injects faults
//! on request, and records what actually ran, so that tests can check the scheduler's reports
//! against it.

mod connection;
mod fault;
mod record;
mod reply;
mod serve;
mod service;
mod settings;
mod state;
mod work;

pub use fault::Fault;
pub use record::{BackendRecord, Run};
pub use serve::{Config, Handle, ServeError, serve};
pub use service::ServiceTime;
pub use settings::{BackendSetting, PROGRAM, config};

/// Request header with the request id; the response repeats it.
pub const REQUEST_HEADER: &str = "agate-request";
/// Request header with the idempotency key.
pub const KEY_HEADER: &str = "agate-key";
/// Response header with a digest of the request body.
pub const DIGEST_HEADER: &str = "agate-digest";

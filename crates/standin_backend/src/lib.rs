//! A stand-in for a platform's backend server, for tests and the demo only.
//!
//! It serves `POST /work/{class}` with a limited number of slots and connections, injects faults
//! on request, and records what it really ran, so that tests need not trust the system's word.

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

/// Header that carries the id of a request; the answer repeats it.
pub const REQUEST_HEADER: &str = "agate-request";
/// Header that carries the idempotency key of a request.
pub const KEY_HEADER: &str = "agate-key";
/// Header of an answer that carries a digest of the request's body.
pub const DIGEST_HEADER: &str = "agate-digest";

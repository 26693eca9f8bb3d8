//! The log behind HTTP.
//!
//! - `POST /v1/streams/{stream}/append` with the raw contents as body answers `{offset}`; 429 with
//!   `Retry-After` over the limit of appends.
//! - `GET /v1/streams/{stream}/read?from=&max_bytes=&wait_ms=` answers
//!   `{earliest, end, entries: [{offset, data}]}` with data in Base64. It waits up to `wait_ms` for
//!   an append if nothing is there.
//! - `POST /v1/faults` with `{outage, slow_ms, lose_answers_percent}` switches faults.

mod api;
mod server;
mod shared;

pub use server::{Config, Handle, ServeError, serve};

//! HTTP API of the log.
//!
//! - `POST /v1/streams/{stream}/append` takes the raw payload as body and returns `{offset}`, or
//!   429 with `Retry-After` if the append rate limit is exceeded.
//! - `GET /v1/streams/{stream}/read?from=&max_bytes=&wait_ms=` returns
//!   `{earliest, end, entries: [{offset, data}]}` with `data` in Base64. It long-polls for up to
//!   `wait_ms` if there is no append to return.
//! - `POST /v1/faults` with `{outage, slow_ms, lose_answers_percent}` replaces the active faults.

mod api;
mod server;
mod shared;

pub use server::{Config, Handle, ServeError, serve};

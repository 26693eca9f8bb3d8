//! Stand-in for the platform's append-only log service, for tests and the demo.
//!
//! Everything is kept in memory. [`Log`] holds the logic and reads no clock; [`serve`] exposes it
//! over HTTP.

mod fault;
mod http;
mod log;

pub use fault::Faults;
pub use http::{Config, Handle, ServeError, serve};
pub use log::{AppendError, Entry, Limits, Log, Page};

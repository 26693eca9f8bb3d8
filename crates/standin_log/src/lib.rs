//! Stand-in for the platform's append-only log service, for tests and the demo.
//!
//! Everything is kept in memory. The rules live in [`Log`], which reads no clock; [`serve`] puts
//! them behind HTTP.

mod fault;
mod http;
mod log;

pub use fault::Faults;
pub use http::{Config, Handle, ServeError, serve};
pub use log::{AppendError, Entry, Limits, Log, Page};

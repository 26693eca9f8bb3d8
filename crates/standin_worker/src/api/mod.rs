//! HTTP API of the worker.

mod handlers;
mod types;

pub(crate) use handlers::register_endpoints;

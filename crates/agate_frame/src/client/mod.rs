//! HTTP client for calls that callers, operators and the harness make.

mod call;
mod reply;

pub use call::{Call, CallError, Method, call};
pub use reply::Reply;

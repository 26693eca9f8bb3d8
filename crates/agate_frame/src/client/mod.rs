//! Calls on the frame as callers, operators and the test itself make them.

mod call;
mod reply;

pub use call::{Call, CallError, Method, call};
pub use reply::Reply;

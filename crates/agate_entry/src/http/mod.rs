//! HTTP APIs for callers and operators.

pub(crate) mod body;
pub(crate) mod caller;
pub(crate) mod head;
pub(crate) mod json;
pub(crate) mod ledger;
mod listener;
pub(crate) mod operator;
pub(crate) mod reply;

pub(crate) use listener::{Listener, run, serve};

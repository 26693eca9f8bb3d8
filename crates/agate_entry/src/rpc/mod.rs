//! JSON-RPC between this entry, agents and other entries.

mod confirm;
pub(crate) mod hello;
mod link;
mod links;
mod server;

pub(crate) use hello::announce;
pub(crate) use link::Link;
pub(crate) use links::Links;
pub(crate) use server::{RpcListener, serve};

//! TCP relay in front of a process, with fault injection on its connections.

mod listener;
mod pipe;

pub use listener::Relay;

//! A relay in front of a process, whose connections can be cut or go silent.

mod listener;
mod pipe;

pub use listener::Relay;

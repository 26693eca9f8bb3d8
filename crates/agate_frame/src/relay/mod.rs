//! A relay in front of a process, whose connections can be cut or go silent.

mod pipe;
mod relay_port;

pub use relay_port::Relay;

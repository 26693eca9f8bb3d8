//! Replays traces of the specifications on the crates that implement them.
//!
//! Spin prints a trace when it simulates a specification: a line for each action, with the
//! resulting state. Each action is replayed on the Rust types, and the states are compared.

mod action;
mod folded_log;
mod keys;
mod presets;
mod replay;
mod runs;

pub use action::{Action, TraceError};
pub use replay::{ActionCounts, Spec, replay};

//! Replays traces of the specifications through the crates that implement them.
//!
//! A trace is what spin prints when it simulates a specification: a line for each action with the
//! state that the specification reached. Each action is carried out on the Rust types, and the
//! states are compared.

mod action;
mod keys;
mod presets;
mod records;
mod replay;
mod runs;

pub use action::{Action, TraceError};
pub use replay::{Replayed, Spec, replay};

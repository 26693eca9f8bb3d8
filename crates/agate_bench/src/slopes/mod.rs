//! Slopes of bytes, memory and processor time, from which the large size is worked out.

mod bytes;
mod member;
mod memory;
mod series;
mod time;

use crate::report::Table;

pub use memory::{StateKind, measure_memory};

/// Measures everything. The program that calls it must print [`point`] when it is run with the
/// name of a [`Subject`] and a size.
pub fn run() -> Vec<Table> {
    vec![bytes::table(), memory::table(), time::table()]
}

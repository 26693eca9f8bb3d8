//! Slopes of bytes, memory and processor time, used to extrapolate to large scale.

mod bytes;
mod member;
mod memory;
mod series;
mod time;

use crate::report::Table;

pub use memory::{StateKind, measure_memory};

/// Measures all series. The calling program must print [`measure_memory`] when it is started with
/// the name of a [`StateKind`] and a size.
pub fn run() -> Vec<Table> {
    vec![bytes::table(), memory::table(), time::table()]
}

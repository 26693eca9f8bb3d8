//! Human-readable tables.

mod grid;
mod tables;

pub use tables::table;

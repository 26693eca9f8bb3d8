//! Tables for people.

mod grid;
mod tables;

pub use tables::table;

//! Instruction counts of the decisions, and their bounds at the largest supported scale.

pub mod batch;
pub mod budget;
mod counts;
pub mod round;
mod summary;
pub mod urgent;

pub use counts::{CountsError, InstructionCounts};
pub use summary::{Cost, Growth, check};

//! Instruction counts of the decisions, and the bounds that the large size sets for them.

pub mod batch;
pub mod budget;
mod counts;
mod summary;
pub mod urgent;

pub use counts::{CountsError, InstructionCounts};
pub use summary::{Cost, Growth, check};

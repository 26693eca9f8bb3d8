//! Instruction counts of the decisions, and the bounds that the large size sets for them.

pub mod batch;
pub mod budget;
mod reading;
mod summary;
pub mod urgent;

pub use reading::{ReadingError, Readings};
pub use summary::{Cost, Growth, run};

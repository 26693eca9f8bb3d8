//! Tables of checks and injected faults.

mod checks;
mod outcome;

pub use checks::{Check, Checks};
pub use outcome::{Outcome, conclude};

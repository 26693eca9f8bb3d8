//! Tables of checks.

mod checks;
mod outcome;

pub use checks::{Check, Checks};
pub use outcome::{Outcome, conclude};

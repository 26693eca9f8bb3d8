//! Tables of checks.

mod checks;

pub use checks::{Check, Checks};

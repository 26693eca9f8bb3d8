//! Stores and records for the test cases.

mod fake;
mod helpers;

pub use fake::{AppendFault, FakeStore};
pub use helpers::{append_settings, bodies, fold_all, recorded, rng, start_appender, withdrawal};

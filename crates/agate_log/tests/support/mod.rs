//! Stores and records for the cases.

mod fake;
mod rig;

pub use fake::{FakeStore, Step};
pub use rig::{append_settings, bodies, fold_all, recorded, rng, start_appender, withdrawal};
